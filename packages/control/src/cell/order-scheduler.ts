/** Decides when the orders of intents that were read back may leave, and asks once more right before each does. */
import type { Clock } from '@figloom/runtime'
import { keepsReachable } from './admission.js'
import type { CellJournal } from './append-queue.js'
import type { OrderSender } from './order-sender.js'
import { Word } from './records.js'
import type { CellSituation } from './local-cell-state.js'
import { dueStandby } from './standby.js'
import { endOffsetOf, type CellState, type Intent } from './state.js'

export type OrderReleaseOptions = {
  clock: Clock
  situation: CellSituation
  sender: OrderSender
  journal: CellJournal
  /** State of the stream at the time of the question. */
  currentState: () => CellState | undefined
  isRetiring: () => boolean
  /** How long an order waits for reports that confirm another copy before it is withdrawn, in milliseconds. */
  confirmPatienceMs: number
}

/** Releases orders to the sender. */
export class OrderRelease {
  readonly #waitingSinceMs = new Map<number, number>()

  private constructor (private readonly options: OrderReleaseOptions) {}

  static create (options: OrderReleaseOptions): OrderRelease {
    return new OrderRelease(options)
  }

  /** Releases what may leave of a tenure's intents; a runner's orders wait for the one before. */
  releaseAll (state: CellState, tenure: number): void {
    const waiting = new Set<string>()
    for (const intent of this.#ownIntents(state, tenure)) {
      if (intent.standby || waiting.has(intent.order.runner)) continue
      if (this.#mayLeave(state, intent)) this.release(state, intent)
      else waiting.add(intent.order.runner)
    }
  }

  /** Releases standby intents of models that lost their last runner while the log does not answer. */
  releaseStandby (state: CellState, tenure: number): void {
    const { situation, sender, journal } = this.options
    if (situation.config === undefined) return
    const standby = this.#ownIntents(state, tenure)
      .filter((intent) => intent.standby && !sender.hasTaken(intent.offset) && !journal.isWithdrawing(intent.offset))
    const context = situation.admissionContext(state, situation.config, true)
    for (const intent of dueStandby(context, standby)) this.release(state, intent)
  }

  release (state: CellState, intent: Intent): void {
    const { situation, sender } = this.options
    const spec = situation.specsOf(state).find(({ name }) => name === intent.order.runner)
    if (spec === undefined || sender.hasTaken(intent.offset)) return
    this.#waitingSinceMs.delete(intent.offset)
    sender.send(intent, spec.url, () => this.#isWanted(intent))
  }

  /** Forgets what waited in an earlier tenure. */
  reset (): void {
    this.#waitingSinceMs.clear()
  }

  /** Whether an order waits for reports. */
  get isWaiting (): boolean {
    return this.#waitingSinceMs.size > 0
  }

  #ownIntents (state: CellState, tenure: number): Intent[] {
    return state.intents
      .filter((intent) => intent.claim === tenure && endOffsetOf(intent) === undefined)
      .sort((a, b) => a.offset - b.offset)
  }

  /** An order that takes a copy away leaves only when a report from after its intent confirms another one. */
  #mayLeave (state: CellState, intent: Intent): boolean {
    const { situation, sender, journal, clock, confirmPatienceMs } = this.options
    if (sender.hasTaken(intent.offset)) return true
    if (situation.config === undefined || journal.isWithdrawing(intent.offset)) return false
    const context = situation.admissionContext(state, situation.config, true, intent.offset)
    if (keepsReachable(intent.order, context)) return true
    const sinceMs = this.#waitingSinceMs.get(intent.offset) ?? clock.monotonicMs()
    this.#waitingSinceMs.set(intent.offset, sinceMs)
    if (clock.monotonicMs() - sinceMs >= confirmPatienceMs) {
      this.#waitingSinceMs.delete(intent.offset)
      journal.append({ kind: 'withdrawn', claim: intent.claim, intent: intent.offset, word: Word.NeverSent })
    }
    return false
  }

  /** Asked right before the copy leaves: another holder or another table may have come since. */
  #isWanted (intent: Intent): boolean {
    const { situation, journal, currentState, isRetiring } = this.options
    const state = currentState()
    if (state === undefined || situation.config === undefined || isRetiring()) return false
    if (state.claim?.offset !== intent.claim || journal.isWithdrawing(intent.offset)) return false
    return keepsReachable(intent.order, situation.admissionContext(state, situation.config, true, intent.offset))
  }
}
