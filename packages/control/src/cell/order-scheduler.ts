/** Decides when the orders of intents that were read back may be sent, and checks again right before each is sent. */
import type { Clock } from '@figloom/runtime'
import { keepsReachable } from './admission.js'
import type { AppendQueue } from './append-queue.js'
import type { OrderSender } from './order-sender.js'
import { DeliveryStatus } from './records.js'
import type { LocalCellState } from './local-cell-state.js'
import { dueStandby } from './standby.js'
import { endOffsetOf, type CellState, type Intent } from './state.js'

export type OrderSchedulerOptions = {
  clock: Clock
  localState: LocalCellState
  sender: OrderSender
  appendQueue: AppendQueue
  /** Returns the current state of the stream. */
  currentState: () => CellState | undefined
  isRetiring: () => boolean
  /** How long an unload waits for a report that confirms another copy before it is withdrawn, in milliseconds. */
  confirmTimeoutMs: number
}

/** Hands orders to the order sender. */
export class OrderScheduler {
  readonly #waitingSinceMs = new Map<number, number>()

  private constructor (private readonly options: OrderSchedulerOptions) {}

  static create (options: OrderSchedulerOptions): OrderScheduler {
    return new OrderScheduler(options)
  }

  /** Sends the orders of a term that are ready; an order waits while an earlier one of its runner is not ready. */
  sendReady (state: CellState, term: number): void {
    const blockedRunners = new Set<string>()
    for (const intent of this.#ownIntents(state, term)) {
      if (intent.standby || blockedRunners.has(intent.order.runner)) continue
      if (this.#isReady(state, intent)) this.send(state, intent)
      else blockedRunners.add(intent.order.runner)
    }
  }

  /** Sends standby intents for models that have lost their last runner; for use while the log does not answer. */
  sendDueStandby (state: CellState, term: number): void {
    const { localState, sender, appendQueue } = this.options
    if (localState.config === undefined) return
    const standby = this.#ownIntents(state, term)
      .filter((intent) => intent.standby && !sender.isSentOrQueued(intent.offset) && !appendQueue.isWithdrawing(intent.offset))
    const context = localState.admissionContext(state, localState.config, true)
    for (const intent of dueStandby(context, standby)) this.send(state, intent)
  }

  send (state: CellState, intent: Intent): void {
    const { localState, sender } = this.options
    const spec = localState.specsOf(state).find(({ name }) => name === intent.order.runner)
    if (spec === undefined || sender.isSentOrQueued(intent.offset)) return
    this.#waitingSinceMs.delete(intent.offset)
    sender.send(intent, spec.url, () => this.#mayStillSend(intent))
  }

  /** Discards the wait times of an earlier term. */
  reset (): void {
    this.#waitingSinceMs.clear()
  }

  /** Whether an order waits for a report. */
  get hasWaitingOrders (): boolean {
    return this.#waitingSinceMs.size > 0
  }

  #ownIntents (state: CellState, term: number): Intent[] {
    return state.intents
      .filter((intent) => intent.claim === term && endOffsetOf(intent) === undefined)
      .sort((a, b) => a.offset - b.offset)
  }

  /** Whether the order may be sent; an unload only after a report newer than its intent confirms another copy. */
  #isReady (state: CellState, intent: Intent): boolean {
    const { localState, sender, appendQueue, clock, confirmTimeoutMs } = this.options
    if (sender.isSentOrQueued(intent.offset)) return true
    if (localState.config === undefined || appendQueue.isWithdrawing(intent.offset)) return false
    const context = localState.admissionContext(state, localState.config, true, intent.offset)
    if (keepsReachable(intent.order, context)) return true
    const sinceMs = this.#waitingSinceMs.get(intent.offset) ?? clock.monotonicMs()
    this.#waitingSinceMs.set(intent.offset, sinceMs)
    if (clock.monotonicMs() - sinceMs >= confirmTimeoutMs) {
      this.#waitingSinceMs.delete(intent.offset)
      appendQueue.append({ kind: 'withdrawn', claim: intent.claim, intent: intent.offset, word: DeliveryStatus.NeverSent })
    }
    return false
  }

  /** Checked right before the order is sent, because the holder or the tables may have changed since it was queued. */
  #mayStillSend (intent: Intent): boolean {
    const { localState, appendQueue, currentState, isRetiring } = this.options
    const state = currentState()
    if (state === undefined || localState.config === undefined || isRetiring()) return false
    if (state.claim?.offset !== intent.claim || appendQueue.isWithdrawing(intent.offset)) return false
    return keepsReachable(intent.order, localState.admissionContext(state, localState.config, true, intent.offset))
  }
}
