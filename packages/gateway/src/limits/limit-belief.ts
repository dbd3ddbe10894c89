/**
 * What is believed of one runner's limit. Answers overtake each other and hosts tell each other late, so that a word is known
 * to have been said between the sending of its request and the arrival of its answer, and no more precisely. A word counts
 * unless one that was certainly said later is known; of those that are left the lowest limit counts. Pure state; the result
 * doesn't depend on the order in which words arrive. Times are milliseconds of a clock that also counts suspensions.
 */
import type { LimitReport, RunnerLimit } from './types.js'

/** A limit that nobody has heard of for this long is over: whoever sends to the runner hears of it again. */
const FORGET_MS = 30_000

type Word = { origin: string, number: number, requestsPerS: number | undefined, askedMs: number, heardMs: number }

export class LimitBelief {
  /** Words that may still hold, one a limit. */
  #words: Word[] = []
  /** The latest word that there is no limit. */
  #ended: Word | undefined
  /** Words of an origin up to this number are known: a word that comes again doesn't become younger. */
  readonly #known = new Map<string, number>()

  private constructor (readonly runnerId: string, readonly startedUnixMs: number | undefined) {}

  static create (runnerId: string, startedUnixMs: number | undefined): LimitBelief {
    return new LimitBelief(runnerId, startedUnixMs)
  }

  hear (report: LimitReport, nowMs: number): void {
    const { origin, number, requestsPerS, askedAgoMs, heardAgoMs } = report
    if (number <= (this.#known.get(origin) ?? -1)) return
    this.#known.set(origin, number)
    const word = { origin, number, requestsPerS, askedMs: nowMs - askedAgoMs, heardMs: nowMs - heardAgoMs }
    if (requestsPerS === undefined) this.#end(word)
    else this.#name(word)
    this.#prune(nowMs)
  }

  /** The limit in force; undefined where there is none. */
  limit (nowMs: number): RunnerLimit | undefined {
    this.#prune(nowMs)
    const lowest = this.#words.reduce<Word | undefined>((best, word) => best === undefined || rateOf(word) < rateOf(best) ? word : best, undefined)
    return lowest && { requestsPerS: rateOf(lowest), origin: lowest.origin, heardAgoMs: nowMs - lowest.heardMs }
  }

  /** What another host has to know to believe the same. */
  reports (nowMs: number): LimitReport[] {
    this.#prune(nowMs)
    const words = this.#ended === undefined ? this.#words : [...this.#words, this.#ended]
    return words.map(({ origin, number, requestsPerS, askedMs, heardMs }) => {
      const { runnerId, startedUnixMs } = this
      return { runnerId, startedUnixMs, origin, number, requestsPerS, askedAgoMs: nowMs - askedMs, heardAgoMs: nowMs - heardMs }
    })
  }

  #end (word: Word): void {
    if (this.#ended === undefined || word.askedMs > this.#ended.askedMs) this.#ended = word
  }

  #name (word: Word): void {
    const same = this.#words.find(({ requestsPerS }) => requestsPerS === word.requestsPerS)
    if (same === undefined) this.#words.push(word)
    else if (word.heardMs > same.heardMs) this.#words[this.#words.indexOf(same)] = word
  }

  #prune (nowMs: number): void {
    if (this.#ended !== undefined && nowMs - this.#ended.heardMs >= FORGET_MS) this.#ended = undefined
    const latestAskedMs = Math.max(...this.#words.map(({ askedMs }) => askedMs), this.#ended?.askedMs ?? -Infinity)
    this.#words = this.#words.filter(({ heardMs }) => heardMs >= latestAskedMs && nowMs - heardMs < FORGET_MS)
  }
}

function rateOf ({ requestsPerS }: Word): number {
  return requestsPerS ?? Infinity
}
