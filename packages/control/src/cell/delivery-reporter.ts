/** The words that a sender owes: what became of the copy of each order that it wrote an intent for. */
import type { CellJournal } from './append-queue.js'
import type { OrderSender } from './order-sender.js'
import { Word, type Sender } from './records.js'
import type { RunnerBooks } from './runner-tracker.js'
import type { CellState, Intent } from './state.js'

export type WordKeeperOptions = { self: Sender, journal: CellJournal, sender: OrderSender, books: RunnerBooks }

/** Gives this process's word on orders that it does not settle itself. */
export class WordKeeper {
  readonly #unanswered = new Set<number>()

  private constructor (private readonly options: WordKeeperOptions) {}

  static create (options: WordKeeperOptions): WordKeeper {
    return new WordKeeper(options)
  }

  noteUnanswered (intent: Intent): void {
    this.#unanswered.add(intent.offset)
  }

  /** Appends the words due; `ends` withdraws also what the present tenure has not sent. */
  keep (state: CellState, ends: boolean): void {
    const { journal } = this.options
    for (const intent of this.#owed(state)) {
      const word = this.#wordOn(intent, ends || intent.claim !== state.claim?.offset)
      if (word !== undefined && !journal.isWithdrawing(intent.offset)) journal.append({ kind: 'withdrawn', claim: intent.claim, intent: intent.offset, word })
    }
  }

  /** Whether a copy may still be answered. */
  hasCopyInFlight (state: CellState): boolean {
    return this.#owed(state).some((intent) => this.#wordOn(intent, true) === undefined)
  }

  #owed (state: CellState): Intent[] {
    return state.intents.filter((intent) => intent.sender.incarnation === this.options.self.incarnation && intent.word === undefined)
  }

  #wordOn (intent: Intent, ends: boolean): Word | undefined {
    const { sender, books } = this.options
    if (!sender.hasTaken(intent.offset)) return ends || intent.fencedInstance !== undefined ? Word.NeverSent : undefined
    const answer = books.answerOf(intent.offset)
    if (answer !== undefined) return ends ? answeredWord(answer.outcome) : undefined
    return this.#unanswered.has(intent.offset) ? Word.Unanswered : undefined
  }
}

function answeredWord (outcome: string): Word {
  return outcome === 'refused' || outcome === 'stale-fence' ? Word.NeverSent : Word.Answered
}
