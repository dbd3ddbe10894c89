/**
 * Runners that said in an answer that they leave. Their entries may call them ready for long, so that the word holds for the
 * process whatever is listed. Pure state; times are milliseconds of a clock that also counts suspensions.
 */
import { ProcessMap } from './process-map.js'
import type { LeavingReport, LocatedRunner } from './types.js'

/** A process that leaves is gone long before. */
const KEPT_MS = 600_000
/** Other hosts are told for this long; by then the list shows it. */
const TOLD_MS = 30_000

/** Who heard it last, and when. */
export type LeavingWord = { origin: string, heardMs: number }

export class LeavingRunners {
  readonly #words = ProcessMap.create<LeavingWord>()

  private constructor () {}

  static create (): LeavingRunners {
    return new LeavingRunners()
  }

  /** Takes over a word; true: it is news. */
  hear (runner: LocatedRunner, word: LeavingWord): boolean {
    const known = this.#words.get(runner)
    if (known !== undefined && known.heardMs >= word.heardMs) return false
    return this.#words.set(runner, word) && known === undefined
  }

  /** The word of a process that leaves; undefined where none is known. */
  word (runner: LocatedRunner): LeavingWord | undefined {
    return this.#words.get(runner)
  }

  isLeaving (runner: LocatedRunner): boolean {
    return this.#words.get(runner) !== undefined
  }

  /** What other hosts have to know. */
  reports (nowMs: number): LeavingReport[] {
    return this.#words.entries()
      .filter(({ value }) => nowMs - value.heardMs < TOLD_MS)
      .map(({ process: { id, address, startedUnixMs }, value: { origin, heardMs } }) => {
        return { runnerId: id, address, startedUnixMs, origin, heardAgoMs: Math.max(0, nowMs - heardMs) }
      })
  }

  sweep (nowMs: number): void {
    for (const { process, value } of this.#words.entries()) {
      if (nowMs - value.heardMs >= KEPT_MS) this.#words.delete(process)
    }
  }
}
