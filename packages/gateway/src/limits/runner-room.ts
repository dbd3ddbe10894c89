/**
 * How many further requests fit into one process of a runner that fails if it rejects too many. The host that allocates the
 * runner's permits counts what all hosts have there: each request for permits states what its host has, and grants are added to
 * that. Load pattern: many hosts at once have more requests than the runner has slots, and some of them don't know of each other.
 * Pure state; times are milliseconds of a clock that also counts suspensions.
 */
import { SlidingWindowCounter } from './sliding-window-counter.js'
import { LIMIT_WINDOW_MS, type RunnerUse } from './types.js'

/** Part of the slots that the requests of all hosts may fill: none waits, and requests that a runner has not let go yet have room. */
const FILLED_PART = 0.9
/** The same for a runner that fails at a single rejection, and the part that counts as free without a recent proof. */
const SAFE_PART = 0.5
/** Rejections a second at which a runner may fail and all of its slots, if it has few, are filled all the same. */
const MIN_FOR_ALL_SLOTS = 2
/** A rejection arrives at the allocator within this time: the answer and one message between hosts. */
const CONFIRM_MS = 150
/** A number of requests that the runner had without rejecting any proves that it has room for as many, for one to two of these times. */
const PROOF_MS = 1_000
/** For this long a new allocator relies on reports too, since not all hosts have stated their requests to it. */
const TAKEOVER_MS = 2_000
/** A host states its requests again within a second; without that it ended or lost contact, and its requests are over. */
const STATEMENT_TTL_MS = 4_000
/** No permits after a rejection; twice as long after each further one, as hosts that don't reach each other may fill the same runner. */
const FIRST_STOP_MS = 1_000
const MAX_STOP_MS = 8_000
/** For this long after a stop, each request is a trial. */
const TRIAL_MS = 3_000
const MIN_RETRY_MS = 20
const MAX_RETRY_MS = 2_000
/** Lowest rate of ending requests that a retry delay is derived from. */
const MIN_ENDS_PER_S = 1

export type RoomOptions = {
  slots: number
  /** Rejections a second at which the runner fails. */
  rejectionsPerS: number
  /** Requests at the runner according to the hosts' reports. */
  reportedInFlight: number
  /** The part of the runner that this host may allocate: hosts that it can't reach may use the rest. */
  share: number
  random: () => number
}

type Statement = { number: number, inFlight: number, granted: number, untilMs: number }

export class RunnerRoom {
  /** By incarnation of the host. */
  readonly #statements = new Map<string, Statement>()
  readonly #ended = SlidingWindowCounter.create()
  /** Grants without a proof that the runner has room, with their times. */
  #trials: { count: number, atMs: number }[] = []
  /** When each host last wanted permits. */
  readonly #wantedMs = new Map<string, number>()
  #high = { index: -Infinity, most: 0, mostBefore: 0 }
  #sinceMs: number
  #lastStatementMs: number
  #stoppedUntilMs = -Infinity
  #stopMs = 0

  private constructor (readonly startedUnixMs: number | undefined, nowMs: number) {
    this.#sinceMs = nowMs
    this.#lastStatementMs = nowMs
  }

  static create (startedUnixMs: number | undefined, nowMs: number): RunnerRoom {
    return new RunnerRoom(startedUnixMs, nowMs)
  }

  /** Applies what a host has at the runner; false for a statement that a later one has overtaken. */
  state ({ incarnation, number, inFlight, rejected }: RunnerUse, nowMs: number): boolean {
    const known = this.#statements.get(incarnation)
    if (known !== undefined && number <= known.number) return false
    if (nowMs - this.#lastStatementMs > TAKEOVER_MS) this.#sinceMs = nowMs
    this.#lastStatementMs = nowMs
    if (known !== undefined) this.#ended.add(Math.max(0, known.inFlight + known.granted - inFlight), nowMs)
    this.#statements.set(incarnation, { number, inFlight, granted: 0, untilMs: nowMs + STATEMENT_TTL_MS })
    if (rejected > 0) this.#onRejected(nowMs)
    return true
  }

  /** Number of permits that may be granted now. */
  admit (wanted: number, options: RoomOptions, nowMs: number): number {
    if (nowMs < this.#stoppedUntilMs) return 0
    const held = this.#held(options, nowMs)
    const free = this.#capacity(options) - held
    const proven = Math.max(0, this.#provenLevel(options, nowMs) - held)
    return Math.max(0, Math.min(wanted, free, proven + this.#allowedTrials(options, nowMs)))
  }

  /** Counts permits that were granted to a host. */
  take (incarnation: string, count: number, options: RoomOptions, nowMs: number): void {
    this.#wantedMs.set(incarnation, nowMs)
    const statement = this.#statements.get(incarnation)
    if (count === 0 || statement === undefined) return
    const held = this.#held(options, nowMs)
    const unproven = count - Math.max(0, this.#provenLevel(options, nowMs) - held)
    if (unproven > 0) this.#trials.push({ count: unproven, atMs: nowMs })
    statement.granted += count
    this.#recordLevel(held + count, nowMs)
  }

  /** Delay before a host that got fewer permits than it wanted asks again: when requests end, spread over the hosts that wait. */
  retryAfterMs (options: RoomOptions, nowMs: number): number {
    for (const [incarnation, wantedMs] of this.#wantedMs) {
      if (nowMs - wantedMs >= LIMIT_WINDOW_MS) this.#wantedMs.delete(incarnation)
    }
    const isFull = this.#capacity(options) <= this.#held(options, nowMs)
    const intervalMs = isFull ? 1_000 / Math.max(MIN_ENDS_PER_S, this.#ended.total(nowMs) / (LIMIT_WINDOW_MS / 1_000)) : CONFIRM_MS
    const spreadMs = options.random() * Math.max(1, this.#wantedMs.size) * intervalMs
    return Math.max(0, this.#stoppedUntilMs - nowMs) + Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, spreadMs))
  }

  isIdle (nowMs: number): boolean {
    return nowMs - this.#lastStatementMs > LIMIT_WINDOW_MS && nowMs - this.#stoppedUntilMs > TRIAL_MS
  }

  #onRejected (nowMs: number): void {
    const isRepeated = nowMs - this.#stoppedUntilMs < TRIAL_MS
    if (nowMs >= this.#stoppedUntilMs) this.#stopMs = isRepeated ? Math.min(MAX_STOP_MS, this.#stopMs * 2) : FIRST_STOP_MS
    this.#stoppedUntilMs = nowMs + this.#stopMs
    this.#high = { index: -Infinity, most: 0, mostBefore: 0 }
  }

  #capacity ({ slots, rejectionsPerS, share }: RoomOptions): number {
    const part = rejectionsPerS < 1 ? SAFE_PART : FILLED_PART
    if (share < 1) return Math.floor(slots * part * share)
    // Of few slots none is left free, unless a second rejection is one too many.
    return Math.max(1, rejectionsPerS < MIN_FOR_ALL_SLOTS ? Math.floor(slots * part) : Math.round(slots * part))
  }

  #held ({ reportedInFlight }: RoomOptions, nowMs: number): number {
    let stated = 0
    for (const [incarnation, { inFlight, granted, untilMs }] of this.#statements) {
      if (untilMs <= nowMs) this.#statements.delete(incarnation)
      else stated += inFlight + granted
    }
    return this.#isTakingOver(nowMs) ? Math.max(stated, reportedInFlight) : stated
  }

  #isTakingOver (nowMs: number): boolean {
    return nowMs - this.#sinceMs < TAKEOVER_MS
  }

  /** Number of requests for which the runner has room for all that is known. */
  #provenLevel ({ slots, share }: RoomOptions, nowMs: number): number {
    if (nowMs - this.#stoppedUntilMs < TRIAL_MS) return 0
    const safe = this.#isTakingOver(nowMs) || share < 1 ? 0 : Math.floor(slots * SAFE_PART)
    return Math.max(safe, this.#highestLevel(nowMs))
  }

  /** All trials of the time in which a rejection may still be on its way, and those of another such time, stay below the limit. */
  #allowedTrials ({ rejectionsPerS, share }: RoomOptions, nowMs: number): number {
    this.#trials = this.#trials.filter(({ atMs }) => nowMs - atMs < CONFIRM_MS)
    const most = Math.max(1, Math.floor((rejectionsPerS - 1) / 2 * share))
    return Math.max(0, most - this.#trials.reduce((sum, { count }) => sum + count, 0))
  }

  #recordLevel (level: number, nowMs: number): void {
    const mostBefore = this.#highestLevel(nowMs)
    const index = Math.floor(nowMs / PROOF_MS)
    if (index === this.#high.index) this.#high.most = Math.max(this.#high.most, level)
    else this.#high = { index, most: level, mostBefore: index === this.#high.index + 1 ? this.#high.most : mostBefore }
  }

  #highestLevel (nowMs: number): number {
    const { index, most, mostBefore } = this.#high
    const age = Math.floor(nowMs / PROOF_MS) - index
    if (age === 0) return Math.max(most, mostBefore)
    return age === 1 ? most : 0
  }
}
