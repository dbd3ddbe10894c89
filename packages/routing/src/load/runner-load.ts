/** Requests at one runner: this host's own exactly, those of others from reports and neighbours. */
import { targetKey, type LoadReport, type NeighbourLoad, type RouteRequest } from '../types.js'

/** An attempt that this host has sent and that has not ended. */
export type Attempt = {
  request: RouteRequest
  runner: string
  sentMs: number
  /** Prompt tokens at the runner ahead of the attempt and its own, as far as known when it was sent. */
  tokensAhead: number
  /** Own prompt tokens that the prefix cache does not save. */
  ownTokens: number
  loadWhenSent: number
  copyLoadWhenSent: number
  expectedFirstTokenMs: number
  firstTokenMs?: number
  lastProgressMs: number
  tokens: number
}

type CountSample = { atMs: number, inFlight: number }

const MAX_SAMPLES = 64
const MAX_NEIGHBOURS = 16
/** Age from which a neighbour's figures no longer count. */
const NEIGHBOUR_TTL_MS = 2_000

export class RunnerLoad {
  readonly attempts = new Map<string, Attempt>()
  readonly #neighbours = new Map<string, { load: NeighbourLoad, atMs: number }>()
  #samples: CountSample[] = [{ atMs: -Infinity, inFlight: 0 }]
  readonly #byModel = new Map<string, number>()
  #reportedOthers = 0
  #pendingTokens = 0

  static create (): RunnerLoad {
    return new RunnerLoad()
  }

  get inFlight (): number {
    return this.attempts.size
  }

  /** Own prompt tokens that wait for a first token. */
  get ownPendingTokens (): number {
    return this.#pendingTokens
  }

  add (attempt: Attempt, nowMs: number): void {
    this.attempts.set(attempt.request.id, attempt)
    this.#pendingTokens += attempt.ownTokens
    this.#countModel(attempt, 1)
    this.#sample(nowMs)
  }

  onFirstToken (attempt: Attempt, nowMs: number): void {
    if (attempt.firstTokenMs !== undefined) return
    attempt.firstTokenMs = nowMs
    attempt.lastProgressMs = nowMs
    this.#pendingTokens -= attempt.ownTokens
  }

  remove (attempt: Attempt, nowMs: number): void {
    if (!this.attempts.delete(attempt.request.id)) return
    if (attempt.firstTokenMs === undefined) this.#pendingTokens -= attempt.ownTokens
    this.#countModel(attempt, -1)
    this.#sample(nowMs)
  }

  /** What the engine counts beyond this host's own requests at the time of its report. */
  onReport (report: LoadReport, nowMs: number): void {
    const ownThen = this.#inFlightAt(nowMs - report.ageMs)
    this.#reportedOthers = Math.max(0, report.running + report.queued - ownThen)
  }

  onNeighbour (load: NeighbourLoad, nowMs: number): void {
    this.#neighbours.delete(load.host)
    this.#neighbours.set(load.host, { load, atMs: nowMs })
    const oldest = this.#neighbours.keys().next()
    if (this.#neighbours.size > MAX_NEIGHBOURS && oldest.done !== true) this.#neighbours.delete(oldest.value)
  }

  /** Requests at the runner. Neighbours' own words are newer than the engine's report and go before it. */
  total (nowMs: number): number {
    const neighbours = this.#sumNeighbours(nowMs, (load) => load.inFlight)
    return this.inFlight + (neighbours ?? this.#reportedOthers)
  }

  /** Requests at the runner for one model, if the others' requests are spread over models like this host's. */
  totalOf (key: string, nowMs: number): number {
    const own = this.#byModel.get(key) ?? 0
    return own === 0 ? 0 : own * this.total(nowMs) / this.inFlight
  }

  /** Prompt tokens at the runner that wait for their first token. */
  pendingTokens (nowMs: number): number {
    return this.#pendingTokens + (this.#sumNeighbours(nowMs, (load) => load.pendingTokens) ?? 0)
  }

  #sumNeighbours (nowMs: number, figure: (load: NeighbourLoad) => number): number | undefined {
    let sum: number | undefined
    for (const { load, atMs } of this.#neighbours.values()) {
      if (nowMs - atMs <= NEIGHBOUR_TTL_MS) sum = (sum ?? 0) + figure(load)
    }
    return sum
  }

  #countModel (attempt: Attempt, change: number): void {
    const key = targetKey(attempt.request.target)
    const count = (this.#byModel.get(key) ?? 0) + change
    if (count > 0) this.#byModel.set(key, count)
    else this.#byModel.delete(key)
  }

  #sample (atMs: number): void {
    this.#samples.push({ atMs, inFlight: this.inFlight })
    if (this.#samples.length > 2 * MAX_SAMPLES) this.#samples = this.#samples.slice(-MAX_SAMPLES)
  }

  #inFlightAt (atMs: number): number {
    return this.#samples.findLast((sample) => sample.atMs <= atMs)?.inFlight ?? this.#samples[0]?.inFlight ?? 0
  }
}
