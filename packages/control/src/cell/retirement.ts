/** A host's way out of a cell: words on all its orders, the release of its lease, and that it sends nothing more. */
import type { CellJournal } from './append-queue.js'
import { GoneEvidence, type CellRecordBody, type Sender } from './records.js'
import { holdsClaim, type CellState } from './state.js'
import type { WordKeeper } from './delivery-reporter.js'

export type RetirementOptions = {
  self: Sender
  journal: CellJournal
  words: WordKeeper
  /** Called once the log has all words. */
  onRetired: () => void
}

/** Proceeds with each look at the state until nothing is owed. */
export class Retirement {
  #isAnnounced = false
  #isDone = false

  private constructor (private readonly options: RetirementOptions) {}

  static create (options: RetirementOptions): Retirement {
    return new Retirement(options)
  }

  proceed (state: CellState): void {
    const { journal, words, onRetired } = this.options
    if (this.#isDone || words.hasCopyInFlight(state)) return
    if (!this.#isAnnounced) {
      this.#isAnnounced = true
      for (const body of this.#lastWords(state)) journal.append(body)
      return
    }
    if (journal.size > 0) return
    this.#isDone = true
    onRetired()
  }

  #lastWords (state: CellState): CellRecordBody[] {
    const { self } = this.options
    const claim = state.claim?.offset ?? 0
    const release: CellRecordBody[] = holdsClaim(state, self) ? [{ kind: 'release', claim }] : []
    const hasIntents = state.intents.some((intent) => intent.sender.incarnation === self.incarnation)
    return hasIntents ? [{ kind: 'gone', claim, sender: self, evidence: GoneEvidence.OwnWord }, ...release] : release
  }
}
