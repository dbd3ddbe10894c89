/** Load of one runner: this host's own requests are counted, those of other hosts are estimated from reports. */
import { targetKey, type LoadReport, type PeerLoad, type RouteRequest } from '../types.js'

/** An attempt in flight from this host. */
export type Attempt = {
  request: RouteRequest
  runner: string
  sentMs: number
  /** Prompt tokens to process until the first token, as known at sending: the attempt's own and those before it. */
  tokensAhead: number
  /** Prompt tokens of the attempt itself that are not in the prefix cache. */
  ownTokens: number
  loadWhenSent: number
  copyLoadWhenSent: number
  expectedFirstTokenMs: number
  firstTokenMs?: number
  lastProgressMs: number
  tokens: number
}

type InFlightSample = { atMs: number, inFlight: number }

const MAX_SAMPLES = 64
const MAX_PEERS = 16
/** Age above which another host's load report is ignored. */
const NEIGHBOUR_TTL_MS = 2_000

export class RunnerLoad {
  readonly attempts = new Map<string, Attempt>()
  readonly #peerLoads = new Map<string, { load: PeerLoad, atMs: number }>()
  #samples: InFlightSample[] = [{ atMs: -Infinity, inFlight: 0 }]
  readonly #byModel = new Map<string, number>()
  #reportedOthers = 0
  #pendingTokens = 0

  static create (): RunnerLoad {
    return new RunnerLoad()
  }

  get inFlight (): number {
    return this.attempts.size
  }

  /** Prompt tokens of this host's requests that have not produced a first token yet. */
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

  /** Derives the requests of other hosts: the engine's count minus this host's own requests at the time of the report. */
  onReport (report: LoadReport, nowMs: number): void {
    const ownThen = this.#inFlightAt(nowMs - report.ageMs)
    this.#reportedOthers = Math.max(0, report.running + report.queued - ownThen)
  }

  onPeerLoad (load: PeerLoad, nowMs: number): void {
    this.#peerLoads.delete(load.host)
    this.#peerLoads.set(load.host, { load, atMs: nowMs })
    const oldest = this.#peerLoads.keys().next()
    if (this.#peerLoads.size > MAX_PEERS && oldest.done !== true) this.#peerLoads.delete(oldest.value)
  }

  /** Requests at the runner. Reports of other hosts take precedence over the engine's report, since they are fresher. */
  total (nowMs: number): number {
    const peerRequests = this.#sumPeerLoads(nowMs, (load) => load.inFlight)
    return this.inFlight + (peerRequests ?? this.#reportedOthers)
  }

  /** Estimated requests at the runner for one model, assuming that other hosts send the same mix of models as this host. */
  totalForModel (key: string, nowMs: number): number {
    const own = this.#byModel.get(key) ?? 0
    return own === 0 ? 0 : own * this.total(nowMs) / this.inFlight
  }

  /** Prompt tokens of requests at the runner that have not produced a first token yet. */
  pendingTokens (nowMs: number): number {
    return this.#pendingTokens + (this.#sumPeerLoads(nowMs, (load) => load.pendingTokens) ?? 0)
  }

  #sumPeerLoads (nowMs: number, select: (load: PeerLoad) => number): number | undefined {
    let sum: number | undefined
    for (const { load, atMs } of this.#peerLoads.values()) {
      if (nowMs - atMs <= NEIGHBOUR_TTL_MS) sum = (sum ?? 0) + select(load)
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
