/**
 * Shares out runners' limits among the hosts. Of all hosts one does so for a runner, chosen alike by all that know the same
 * hosts: a rate of one a second can't be cut into parts for eighty hosts, and a request that finds a permit takes it from
 * whatever host it came to. Load pattern: more callers than a runner in need takes, at many hosts at once. Pure state; times
 * are milliseconds of a clock that also counts suspensions.
 */
import { bucketDepth, RateBucket } from './rate-bucket.js'
import { SendingWindow } from './sending-window.js'
import { LIMIT_WINDOW_MS, type PermitReply, type PermitRequest, type RunnerProcess } from './types.js'

/** Least rate at which a request is let through, so that the end of a limit is heard. */
const LEAST_PER_S = 1 / 30
/** Shortest pause after a refusal: the asking itself takes some milliseconds. */
const MIN_PAUSE_MS = 20
const MAX_PAUSE_MS = 10_000
/** Pause while the window is full: what fills it leaves it in steps of about this length. */
const FULL_WINDOW_PAUSE_MS = 400

export type PermitTerms = {
  /** Requests a second that may be let through by this host. */
  requestsPerS: number
  random: () => number
}

type Unpermitted = { count: number, untilMs: number }

class RunnerDesk {
  readonly #bucket: RateBucket
  readonly #granted = SendingWindow.create()
  /** What hosts sent before they knew of the limit, by host. */
  readonly #unpermitted = new Map<string, Unpermitted>()
  /** When hosts asked last, by host. */
  readonly #askedMs = new Map<string, number>()

  private constructor (readonly startedUnixMs: number | undefined, nowMs: number) {
    this.#bucket = RateBucket.create(nowMs)
  }

  static create (startedUnixMs: number | undefined, nowMs: number): RunnerDesk {
    return new RunnerDesk(startedUnixMs, nowMs)
  }

  grant ({ host, wanted, unpermitted }: PermitRequest, { requestsPerS, random }: PermitTerms, nowMs: number): Omit<PermitReply, 'limitReports'> {
    this.#unpermitted.set(host, { count: unpermitted, untilMs: nowMs + LIMIT_WINDOW_MS })
    if (wanted > 0) this.#askedMs.set(host, nowMs)
    const ratePerS = Math.max(LEAST_PER_S, requestsPerS)
    const room = Math.floor(this.#allowed(ratePerS) - this.#granted.total(nowMs) - this.#unpermittedTotal(nowMs))
    const granted = Math.max(0, Math.min(wanted, this.#bucket.level(ratePerS, nowMs), room))
    this.#bucket.take(granted)
    if (granted > 0) this.#granted.add(granted, nowMs)
    return { granted, retryAfterMs: granted === wanted ? 0 : this.#pauseMs(ratePerS, room, random, nowMs) }
  }

  /** Nobody has asked for long. */
  isIdle (nowMs: number): boolean {
    return this.#unpermittedTotal(nowMs) === 0 && [...this.#askedMs.values()].every((askedMs) => nowMs - askedMs > MAX_PAUSE_MS * 2)
  }

  #allowed (ratePerS: number): number {
    return ratePerS * LIMIT_WINDOW_MS / 1_000 + bucketDepth(ratePerS)
  }

  #unpermittedTotal (nowMs: number): number {
    return [...this.#unpermitted.values()].reduce((sum, { count, untilMs }) => untilMs > nowMs ? sum + count : sum, 0)
  }

  /** Askers come back spread over the time in which there is one more permit for each of them, twice as often as needed. */
  #pauseMs (ratePerS: number, room: number, random: () => number, nowMs: number): number {
    const askers = [...this.#askedMs.values()].filter((askedMs) => nowMs - askedMs < LIMIT_WINDOW_MS).length
    const untilOneMs = room < 1 ? FULL_WINDOW_PAUSE_MS : this.#bucket.untilOneMs(ratePerS)
    const spreadMs = random() * Math.max(0, askers - 1) * 1_000 / ratePerS
    return Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, untilOneMs + spreadMs))
  }
}

export class PermitDesk {
  readonly #desks = new Map<string, RunnerDesk>()

  private constructor () {}

  static create (): PermitDesk {
    return new PermitDesk()
  }

  grant (request: PermitRequest, terms: PermitTerms, nowMs: number): Omit<PermitReply, 'limitReports'> {
    return this.#desk(request.runner, nowMs).grant(request, terms, nowMs)
  }

  sweep (nowMs: number): void {
    for (const [id, desk] of this.#desks) {
      if (desk.isIdle(nowMs)) this.#desks.delete(id)
    }
  }

  #desk ({ id, startedUnixMs }: RunnerProcess, nowMs: number): RunnerDesk {
    const known = this.#desks.get(id)
    if (known !== undefined && known.startedUnixMs === startedUnixMs) return known
    const desk = RunnerDesk.create(startedUnixMs, nowMs)
    this.#desks.set(id, desk)
    return desk
  }
}
