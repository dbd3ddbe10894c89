/** What became of the requests of a replay. */
import { Priority } from '@figloom/tables'
import type { Arrival } from './demand.js'

/** End of one request. */
export type Outcome = 'attained' | 'late' | 'refused' | 'failed' | 'unfinished'

/** Time in which a batch job has to be done. */
const BATCH_TARGET_MS = 300_000

export type Tally = Record<Outcome, number>

export class Outcomes {
  readonly interactive: Tally = emptyTally()
  readonly batch: Tally = emptyTally()
  readonly refusalDelaysMs: number[] = []
  #open = 0

  static create (): Outcomes {
    return new Outcomes()
  }

  onArrival (): void {
    this.#open += 1
  }

  onDone (arrival: Arrival, firstMs: number, doneMs: number): void {
    this.#count(arrival, attained(arrival, firstMs, doneMs) ? 'attained' : 'late')
  }

  onRefused (arrival: Arrival): void {
    this.#count(arrival, 'refused')
  }

  onFailed (arrival: Arrival): void {
    this.#count(arrival, 'failed')
  }

  /** Counts requests without an end. */
  close (): void {
    this.interactive.unfinished += this.#open
  }

  #count (arrival: Arrival, outcome: Outcome): void {
    this.#open -= 1
    const tally = arrival.priority === Priority.Batch ? this.batch : this.interactive
    tally[outcome] += 1
  }
}

function attained (arrival: Arrival, firstMs: number, doneMs: number): boolean {
  if (arrival.priority === Priority.Batch) return doneMs - arrival.atMs <= BATCH_TARGET_MS
  const betweenMs = (doneMs - firstMs) / Math.max(1, arrival.outputTokens - 1)
  return firstMs - arrival.atMs <= arrival.route.firstTokenTargetMs && betweenMs <= arrival.route.betweenTokensTargetMs
}

function emptyTally (): Tally {
  return { attained: 0, late: 0, refused: 0, failed: 0, unfinished: 0 }
}
