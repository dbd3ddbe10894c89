/** Reports to the log whether the order of each intent of this process was sent and answered. */
import type { AppendQueue } from './append-queue.js'
import type { OrderSender } from './order-sender.js'
import { DeliveryStatus, type Sender } from './records.js'
import type { RunnerTracker } from './runner-tracker.js'
import type { CellState, Intent } from './state.js'

export type DeliveryReporterOptions = { self: Sender, appendQueue: AppendQueue, sender: OrderSender, tracker: RunnerTracker }

/** Appends a `withdrawn` record with the delivery status for each order that this process will not settle itself. */
export class DeliveryReporter {
  readonly #unanswered = new Set<number>()

  private constructor (private readonly options: DeliveryReporterOptions) {}

  static create (options: DeliveryReporterOptions): DeliveryReporter {
    return new DeliveryReporter(options)
  }

  noteUnanswered (intent: Intent): void {
    this.#unanswered.add(intent.offset)
  }

  /** Appends the records that are due. `isTermEnding` includes the unsent and the answered orders of the current term. */
  reportDue (state: CellState, isTermEnding: boolean): void {
    const { appendQueue } = this.options
    for (const intent of this.#unreportedIntents(state)) {
      const status = this.#statusOf(intent, isTermEnding || intent.claim !== state.claim?.offset)
      if (status !== undefined &&
        !appendQueue.isWithdrawing(intent.offset)) appendQueue.append({ kind: 'withdrawn', claim: intent.claim, intent: intent.offset, word: status })
    }
  }

  /** Whether an order of this process was sent and its status is still unknown. */
  hasOrderInFlight (state: CellState): boolean {
    return this.#unreportedIntents(state).some((intent) => this.#statusOf(intent, true) === undefined)
  }

  #unreportedIntents (state: CellState): Intent[] {
    return state.intents.filter((intent) => intent.sender.incarnation === this.options.self.incarnation && intent.word === undefined)
  }

  #statusOf (intent: Intent, isTermEnding: boolean): DeliveryStatus | undefined {
    const { sender, tracker } = this.options
    if (!sender.isSentOrQueued(intent.offset)) return isTermEnding || intent.fencedInstance !== undefined ? DeliveryStatus.NeverSent : undefined
    const answer = tracker.answerOf(intent.offset)
    if (answer !== undefined) return isTermEnding ? statusOfAnswer(answer.outcome) : undefined
    return this.#unanswered.has(intent.offset) ? DeliveryStatus.Unanswered : undefined
  }
}

function statusOfAnswer (outcome: string): DeliveryStatus {
  return outcome === 'refused' || outcome === 'stale-fence' ? DeliveryStatus.NeverSent : DeliveryStatus.Answered
}
