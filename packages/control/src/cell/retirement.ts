/** A host's retirement from a cell: once no order is in flight, it reports that it sends no more and releases its lease. */
import type { AppendQueue } from './append-queue.js'
import { GoneEvidence, type CellRecordBody, type Sender } from './records.js'
import { holdsClaim, type CellState } from './state.js'
import type { DeliveryReporter } from './delivery-reporter.js'

export type RetirementOptions = {
  self: Sender
  appendQueue: AppendQueue
  deliveryReporter: DeliveryReporter
  /** Called once the log has all records of the retirement. */
  onRetired: () => void
}

/** Advances with each call of `proceed` until no record is pending. */
export class Retirement {
  #isAnnounced = false
  #isDone = false

  private constructor (private readonly options: RetirementOptions) {}

  static create (options: RetirementOptions): Retirement {
    return new Retirement(options)
  }

  proceed (state: CellState): void {
    const { appendQueue, deliveryReporter, onRetired } = this.options
    if (this.#isDone || deliveryReporter.hasOrderInFlight(state)) return
    if (!this.#isAnnounced) {
      this.#isAnnounced = true
      for (const body of this.#finalRecords(state)) appendQueue.append(body)
      return
    }
    if (appendQueue.size > 0) return
    this.#isDone = true
    onRetired()
  }

  #finalRecords (state: CellState): CellRecordBody[] {
    const { self } = this.options
    const claim = state.claim?.offset ?? 0
    const release: CellRecordBody[] = holdsClaim(state, self) ? [{ kind: 'release', claim }] : []
    const hasIntents = state.intents.some((intent) => intent.sender.incarnation === self.incarnation)
    return hasIntents ? [{ kind: 'gone', claim, sender: self, evidence: GoneEvidence.SelfReported }, ...release] : release
  }
}
