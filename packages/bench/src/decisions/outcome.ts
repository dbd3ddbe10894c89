/** Counts how the requests of a replay ended. */
import { Priority } from '@figloom/tables'
import type { Arrival } from './demand.js'

/** How a request ended; `attained` means within its latency targets. */
export type Outcome = 'attained' | 'late' | 'refused' | 'failed' | 'unfinished'

/** Time within which a batch job has to finish. */
const BATCH_TARGET_MS = 300_000

export type Tally = Record<Outcome, number>

export class Outcomes {
  readonly interactive: Tally = emptyTally()
  readonly batch: Tally = emptyTally()
  readonly refusalDelaysMs: number[] = []
  #unfinished = 0

  static create (): Outcomes {
    return new Outcomes()
  }

  onArrival (): void {
    this.#unfinished += 1
  }

  onDone (arrival: Arrival, firstTokenMs: number, doneMs: number): void {
    this.#count(arrival, meetsTarget(arrival, firstTokenMs, doneMs) ? 'attained' : 'late')
  }

  onRefused (arrival: Arrival): void {
    this.#count(arrival, 'refused')
  }

  onFailed (arrival: Arrival): void {
    this.#count(arrival, 'failed')
  }

  /** Counts the requests that have not ended when the replay does. */
  close (): void {
    this.interactive.unfinished += this.#unfinished
  }

  #count (arrival: Arrival, outcome: Outcome): void {
    this.#unfinished -= 1
    const tally = arrival.priority === Priority.Batch ? this.batch : this.interactive
    tally[outcome] += 1
  }
}

function meetsTarget (arrival: Arrival, firstTokenMs: number, doneMs: number): boolean {
  if (arrival.priority === Priority.Batch) return doneMs - arrival.atMs <= BATCH_TARGET_MS
  const betweenMs = (doneMs - firstTokenMs) / Math.max(1, arrival.outputTokens - 1)
  return firstTokenMs - arrival.atMs <= arrival.route.firstTokenTargetMs && betweenMs <= arrival.route.betweenTokensTargetMs
}

function emptyTally (): Tally {
  return { attained: 0, late: 0, refused: 0, failed: 0, unfinished: 0 }
}
