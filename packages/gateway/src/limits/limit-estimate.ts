/**
 * Estimates the limit in force at one runner. Answers overtake each other and hosts' reports arrive late, so an observation is
 * only known to have been made between the time its request was written and the time its answer arrived. An observation is
 * dropped once another one was certainly made after it; of those that remain, the lowest limit is in force. Pure state; the
 * result doesn't depend on the order of arrival. Times are milliseconds of a clock that also counts suspensions.
 */
import type { LimitReport, RunnerLimit } from './types.js'

/** A limit that no answer has named for this long no longer applies: hosts that send to the runner receive it again. */
const OBSERVATION_TTL_MS = 30_000

type Observation = { origin: string, number: number, requestsPerS: number | undefined, requestedMs: number, receivedMs: number }

export class LimitEstimate {
  /** Limits that may still be in force, one observation for each distinct limit. */
  #limits: Observation[] = []
  /** The observation without a limit whose request was written last. */
  #latestUnlimited: Observation | undefined
  /** Highest number received from each origin: a report that arrives again must not make its observation look fresher. */
  readonly #lastNumbers = new Map<string, number>()

  private constructor (readonly runnerId: string, readonly startedUnixMs: number | undefined) {}

  static create (runnerId: string, startedUnixMs: number | undefined): LimitEstimate {
    return new LimitEstimate(runnerId, startedUnixMs)
  }

  receive (report: LimitReport, nowMs: number): void {
    const { origin, number, requestsPerS, askedAgoMs, heardAgoMs } = report
    if (number <= (this.#lastNumbers.get(origin) ?? -1)) return
    this.#lastNumbers.set(origin, number)
    const observation = { origin, number, requestsPerS, requestedMs: nowMs - askedAgoMs, receivedMs: nowMs - heardAgoMs }
    if (requestsPerS === undefined) this.#observeNoLimit(observation)
    else this.#observeLimit(observation)
    this.#prune(nowMs)
  }

  /** The limit in force; undefined where there is none. */
  limit (nowMs: number): RunnerLimit | undefined {
    this.#prune(nowMs)
    const lowest = this.#limits.reduce<Observation | undefined>(
      (best, next) => best === undefined || rateOf(next) < rateOf(best) ? next : best, undefined
    )
    return lowest && { requestsPerS: rateOf(lowest), origin: lowest.origin, receivedAgoMs: nowMs - lowest.receivedMs }
  }

  /** The observations from which another host derives the same estimate. */
  reports (nowMs: number): LimitReport[] {
    this.#prune(nowMs)
    const observations = this.#latestUnlimited === undefined ? this.#limits : [...this.#limits, this.#latestUnlimited]
    return observations.map(({ origin, number, requestsPerS, requestedMs, receivedMs }) => {
      const { runnerId, startedUnixMs } = this
      return { runnerId, startedUnixMs, origin, number, requestsPerS, askedAgoMs: nowMs - requestedMs, heardAgoMs: nowMs - receivedMs }
    })
  }

  #observeNoLimit (observation: Observation): void {
    if (this.#latestUnlimited === undefined || observation.requestedMs > this.#latestUnlimited.requestedMs) this.#latestUnlimited = observation
  }

  #observeLimit (observation: Observation): void {
    const same = this.#limits.find(({ requestsPerS }) => requestsPerS === observation.requestsPerS)
    if (same === undefined) this.#limits.push(observation)
    else if (observation.receivedMs > same.receivedMs) this.#limits[this.#limits.indexOf(same)] = observation
  }

  #prune (nowMs: number): void {
    if (this.#latestUnlimited !== undefined && nowMs - this.#latestUnlimited.receivedMs >= OBSERVATION_TTL_MS) this.#latestUnlimited = undefined
    const latestRequestedMs = Math.max(...this.#limits.map(({ requestedMs }) => requestedMs), this.#latestUnlimited?.requestedMs ?? -Infinity)
    this.#limits = this.#limits.filter(({ receivedMs }) => receivedMs >= latestRequestedMs && nowMs - receivedMs < OBSERVATION_TTL_MS)
  }
}

function rateOf ({ requestsPerS }: Observation): number {
  return requestsPerS ?? Infinity
}
