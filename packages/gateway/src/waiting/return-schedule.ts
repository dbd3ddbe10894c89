/**
 * When callers that find all runners full are asked to return: spread over the time that room takes to come, and rather late than
 * early in the time that they honor. Load pattern: a burst that fills all runners of a model at many hosts; callers that are told the
 * same time, or a time before the burst has passed, find the runners full again and don't return once more. The same for callers of
 * a model that is being loaded: what a new copy can take at once is less than all who wait for it.
 * Pure state; times are monotonic milliseconds.
 */

/** Callers honor at most this part of the time that they have left. */
const HONORED_FRACTION = 0.33
/** Room that comes sooner goes to requests that arrive meanwhile, and hosts learn of it only from reports. */
const MIN_DELAY_MS = 700
/** Last part of what a caller honors, in which it returns where no room is expected sooner. */
const LAST_FRACTION = 0.85
/** Part of the time until room is expected before which no caller returns. */
const QUIET_FRACTION = 0.4
/** Part of the places that come free which is left for callers that return. */
const RETURN_PART = 0.5
/** Arrivals come in clumps: so many callers count as told a time before, here as at every other host. */
const CLUMP = 4
/** Lowest rate of places a second that a time is derived from. */
const MIN_PLACES_PER_S = 0.02
/** Steps of this part of a window never meet and divide it evenly, however many there are (golden ratio). */
const EVEN_STEP = 0.618_034

export type ReturnInput = {
  /** Requests with the same key need the same runners. */
  pool: string
  /** 0 is the most urgent. */
  urgency: number
  timeLeftMs: number
  /** Time until the runners of the pool can take any, as a load of the model has to end; 0 if they can already. */
  opensInMs: number
  /** Places that come free at the runners of the pool, for all hosts together. */
  placesPerS: number
  hostCount: number
  random: () => number
}

type Told = { urgency: number, returnMs: number }

type Pool = { step: number, told: Told[] }

export class ReturnSchedule {
  readonly #pools = new Map<string, Pool>()

  private constructor () {}

  static create (): ReturnSchedule {
    return new ReturnSchedule()
  }

  /** Delay until the caller should return. */
  delayMs (input: ReturnInput, nowMs: number): number {
    const { urgency, timeLeftMs, opensInMs } = input
    const pool = this.#poolOf(input, nowMs)
    const honoredMs = Math.max(1, timeLeftMs * HONORED_FRACTION)
    const placeMs = 1_000 * Math.max(1, input.hostCount) / Math.max(MIN_PLACES_PER_S, input.placesPerS * RETURN_PART)
    const ahead = pool.told.filter((told) => told.urgency <= urgency).length
    const windowMs = Math.min(honoredMs, Math.max(MIN_DELAY_MS, opensInMs) + (ahead + CLUMP) * placeMs)
    const quietMs = Math.min(windowMs * LAST_FRACTION, Math.max(MIN_DELAY_MS, opensInMs, opensInMs > 0 ? 0 : windowMs * QUIET_FRACTION))
    pool.step = (pool.step + EVEN_STEP) % 1
    const delayMs = quietMs + pool.step * (windowMs - quietMs)
    pool.told.push({ urgency, returnMs: nowMs + delayMs })
    return delayMs
  }

  /** Forgets callers whose time has come. */
  sweep (nowMs: number): void {
    for (const [key, pool] of this.#pools) {
      pool.told = pool.told.filter(({ returnMs }) => returnMs > nowMs)
      if (pool.told.length === 0) this.#pools.delete(key)
    }
  }

  /** Hosts begin at different steps, so that their callers don't return together. */
  #poolOf ({ pool: key, random }: ReturnInput, nowMs: number): Pool {
    const pool = this.#pools.get(key) ?? { step: random(), told: [] }
    pool.told = pool.told.filter(({ returnMs }) => returnMs > nowMs)
    this.#pools.set(key, pool)
    return pool
  }
}
