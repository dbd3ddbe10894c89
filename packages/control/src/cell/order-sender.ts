/** Sends the orders of intents: at most one copy of each, to one runner in the order of their offsets. */
import type { EngineClient, EngineOrder } from '@figloom/clients'
import { Ran, type Clock } from '@figloom/runtime'
import type { CopyAnswer } from './settlement.js'
import type { Intent } from './state.js'

/** What became of the copy. An answer may still follow `unanswered`. */
export type CopyEvent =
  | { type: 'copy-answered', intent: Intent, answer: CopyAnswer }
  | { type: 'copy-unanswered', intent: Intent }

export type OrderSenderOptions = {
  engines: EngineClient
  clock: Clock
  /** Time after which the next order to the runner no longer waits for the answer. */
  timeoutMs: number
  post: (event: CopyEvent) => void
}

type Queued = { intent: Intent, url: string, isWanted: () => boolean }

/** Queues of orders, one for each runner. */
export class OrderSender {
  readonly #sent = new Set<number>()
  readonly #queues = new Map<string, Queued[]>()
  #stopped = false

  private constructor (private readonly options: OrderSenderOptions) {}

  static create (options: OrderSenderOptions): OrderSender {
    return new OrderSender(options)
  }

  /** Whether a copy was sent or queued by this process; no other one is sent then. */
  hasTaken (offset: number): boolean {
    return this.#sent.has(offset)
  }

  /** Queues the only copy; `isWanted` is asked once more before it leaves, and a copy not wanted counts as refused. */
  send (intent: Intent, url: string, isWanted: () => boolean): void {
    if (this.#stopped || this.#sent.has(intent.offset)) return
    this.#sent.add(intent.offset)
    const queue = this.#queues.get(intent.order.runner)
    if (queue !== undefined) {
      queue.push({ intent, url, isWanted })
      queue.sort((a, b) => a.intent.offset - b.intent.offset)
      return
    }
    this.#queues.set(intent.order.runner, [{ intent, url, isWanted }])
    this.#run(intent.order.runner)
  }

  stop (): void {
    this.#stopped = true
    this.#queues.clear()
  }

  async #run (runner: string): Promise<void> {
    const queue = this.#queues.get(runner) ?? []
    for (let next = queue.shift(); next !== undefined && !this.#stopped; next = queue.shift()) await this.#sendOne(next)
    this.#queues.delete(runner)
  }

  async #sendOne ({ intent, url, isWanted }: Queued): Promise<void> {
    const { clock, engines, timeoutMs, post } = this.options
    if (!isWanted()) return post({ type: 'copy-answered', intent, answer: this.#notSent() })
    const timeout = new AbortController()
    const call = engines.order(url, toEngineOrder(intent)).match(
      (outcome): CopyEvent => ({ type: 'copy-answered', intent, answer: { atMs: clock.monotonicMs(), outcome: outcome.outcome, instance: outcome.instance } }),
      (failure): CopyEvent => failure.ran === Ran.No
        ? { type: 'copy-answered', intent, answer: this.#notSent() }
        : { type: 'copy-unanswered', intent }
    ).then((event) => {
      timeout.abort()
      post(event)
      return event
    })
    const expired = clock.sleep(timeoutMs, timeout.signal).then(() => undefined)
    const first = await Promise.race([call, expired])
    if (first === undefined && !timeout.signal.aborted) post({ type: 'copy-unanswered', intent })
  }

  #notSent (): CopyAnswer {
    return { atMs: this.options.clock.monotonicMs(), outcome: 'refused', instance: '' }
  }
}

function toEngineOrder ({ offset, orderId, order }: Intent): EngineOrder {
  const { action, model, version, weightsMiB, kvReserveMiB, sizeMiB } = order
  const engineOrder: EngineOrder = { orderId, fence: offset, action, model, version, weightsMiB, kvReserveMiB, sizeMiB }
  if (order.adapter !== undefined) engineOrder.adapter = order.adapter
  if (order.role !== undefined) engineOrder.role = order.role
  return engineOrder
}
