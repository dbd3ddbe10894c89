/** Sends the orders of intents: each at most once, and those of one runner in the order of their offsets. */
import type { EngineClient, EngineOrder } from '@figloom/clients'
import { Ran, type Clock } from '@figloom/runtime'
import type { OrderAnswer } from './settlement.js'
import type { Intent } from './state.js'

/** Outcome of sending an order. `order-answered` may still follow `order-unanswered`. */
export type OrderEvent =
  | { type: 'order-answered', intent: Intent, answer: OrderAnswer }
  | { type: 'order-unanswered', intent: Intent }

export type OrderSenderOptions = {
  engines: EngineClient
  clock: Clock
  /** Time after which the next order to the same runner no longer waits for the answer. */
  timeoutMs: number
  post: (event: OrderEvent) => void
}

type QueuedOrder = { intent: Intent, url: string, maySend: () => boolean }

/** Sends orders from one queue per runner. */
export class OrderSender {
  readonly #sentOrQueued = new Set<number>()
  readonly #queues = new Map<string, QueuedOrder[]>()
  #stopped = false

  private constructor (private readonly options: OrderSenderOptions) {}

  static create (options: OrderSenderOptions): OrderSender {
    return new OrderSender(options)
  }

  /** Whether this process has sent or queued the order; it is not sent a second time. */
  isSentOrQueued (offset: number): boolean {
    return this.#sentOrQueued.has(offset)
  }

  /** Queues the order, once. `maySend` is checked right before it is sent; if it is false, the order counts as refused. */
  send (intent: Intent, url: string, maySend: () => boolean): void {
    if (this.#stopped || this.#sentOrQueued.has(intent.offset)) return
    this.#sentOrQueued.add(intent.offset)
    const queue = this.#queues.get(intent.order.runner)
    if (queue !== undefined) {
      queue.push({ intent, url, maySend })
      queue.sort((a, b) => a.intent.offset - b.intent.offset)
      return
    }
    this.#queues.set(intent.order.runner, [{ intent, url, maySend }])
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

  async #sendOne ({ intent, url, maySend }: QueuedOrder): Promise<void> {
    const { clock, engines, timeoutMs, post } = this.options
    if (!maySend()) return post({ type: 'order-answered', intent, answer: this.#notSentAnswer() })
    const timeout = new AbortController()
    const call = engines.order(url, toEngineOrder(intent)).match(
      (outcome): OrderEvent => ({
        type: 'order-answered', intent, answer: { atMs: clock.monotonicMs(), outcome: outcome.outcome, instance: outcome.instance }
      }),
      (failure): OrderEvent => failure.ran === Ran.No
        ? { type: 'order-answered', intent, answer: this.#notSentAnswer() }
        : { type: 'order-unanswered', intent }
    ).then((event) => {
      timeout.abort()
      post(event)
      return event
    })
    const expired = clock.sleep(timeoutMs, timeout.signal).then(() => undefined)
    const first = await Promise.race([call, expired])
    if (first === undefined && !timeout.signal.aborted) post({ type: 'order-unanswered', intent })
  }

  #notSentAnswer (): OrderAnswer {
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
