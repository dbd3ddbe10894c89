/**
 * Replays a service whose runners end for reasons of their own, under requests with a deadly part and under one deadly request, on
 * simulated time, and records what is blocked. Requests have a popular first part and one of many sessions.
 */
import { CONTACT_MS } from '../../testing/host-network.js'
import { createRandom } from '../../testing/seeded-random.js'
import { CrashEvidence } from '../crash-evidence.js'
import { isRequestKey } from '../request-key.js'
import type { EndRecord } from '../types.js'

export const DEADLY = 'deadly'
/** The request that comes again under new ids, and the one that many callers send. */
export const DEADLY_REQUEST = 'request-deadly'
const ALIKE_REQUEST = 'request-alike'
/** Of the keys of requests with the deadly part. */
const DEADLY_PREFIX = 'request-with-deadly-part-'
const STEP_MS = 10
const RUN_MS = 60_000
/** Until then only sound requests come, so that parts have a history. */
const WARM_UP_MS = 5_000
const RUNNERS = 13
const RESTART_MS = 3_300
/** Time until an end is confirmed and its requests are sent again, and until hosts decide on it. */
const REPEAT_MS = 30
const DECISION_MS = 60
/** Time from the first part of an answer to its end. */
const ANSWER_MS = 800
const FIRST_PARTS = 5
/** Interval of writes to the platform, and ends at which a feature is stored. */
const STORE_MS = 1_000
const MIN_STORED_ENDS = 2
const SESSIONS = 120

export type ReplayOptions = {
  seed: number
  requestsPerS: number
  /** Longest time until a request begins at a runner. */
  maxQueueMs: number
  /** Share of the runners that end together now and then; 0: none do. */
  crashShare: number
  /** Mean interval between such events. */
  crashEveryMs: number
  /** Time over which the runners of one event end; a cut heals or a power supply fails at one moment. */
  crashSpreadMs: number
  /** Requests with the deadly part. */
  deadlyPerS: number
  /** Sendings of the deadly request. */
  deadlyRequestPerS?: number
  /** Share of the sound requests that are all alike. */
  alikeShare?: number
  /** Sendings of one request, repeats and retries included. */
  maxSendings?: number
  /** Mean interval at which all hosts are restarted at once; undefined: they are not. */
  restartEveryMs?: number
}

/** `inContact`: the hosts had been up for the time after which they have to know of each other's ends. */
export type DeadlyEnd = { atMs: number, inContact: boolean }

export type ReplayResult = {
  /** Sound parts that were blocked, and sound requests. */
  falseBlocks: string[]
  falselyBlockedRequests: string[]
  soundRequests: number
  /** Ends of runners, whatever their cause. */
  ends: number
  /** Ends under requests with the deadly part, and under the deadly request. */
  deadlyEnds: DeadlyEnd[]
  deadlyRequestEnds: DeadlyEnd[]
  blocked: boolean
  requestBlocked: boolean
}

type Sent = { featureIds: string[], runner: number, beginsMs: number, begun: boolean, sendings: number }

class Replay {
  #evidence = CrashEvidence.create(-RUN_MS)
  /** What is stored of ends, as of the last write. */
  #stored: EndRecord[] = []
  readonly #blocked = new Set<string>()
  readonly #upAtMs = new Array<number>(RUNNERS).fill(0)
  readonly #crashAtMs = new Array<number>(RUNNERS).fill(Infinity)
  readonly #random: () => number
  #sent: Sent[] = []
  readonly #deadlyEnds: DeadlyEnd[] = []
  readonly #deadlyRequestEnds: DeadlyEnd[] = []
  #restartedMs = -Infinity
  #repeats: { atMs: number, featureIds: string[], sendings: number }[] = []
  #decisionAtMs = Infinity
  #ends = 0
  #soundRequests = 0
  #nowMs = 0

  constructor (private readonly options: ReplayOptions) {
    this.#random = createRandom(options.seed)
  }

  run (): ReplayResult {
    for (; this.#nowMs < RUN_MS; this.#nowMs += STEP_MS) this.#step()
    const sound = [...this.#blocked].filter((featureId) => featureId !== DEADLY && featureId !== DEADLY_REQUEST)
    return {
      falseBlocks: sound.filter((featureId) => !isRequestKey(featureId)),
      falselyBlockedRequests: sound.filter((featureId) => isRequestKey(featureId) && !featureId.startsWith(DEADLY_PREFIX)),
      soundRequests: this.#soundRequests,
      ends: this.#ends,
      deadlyEnds: this.#deadlyEnds,
      deadlyRequestEnds: this.#deadlyRequestEnds,
      blocked: this.#blocked.has(DEADLY),
      requestBlocked: this.#blocked.has(DEADLY_REQUEST)
    }
  }

  #step (): void {
    const { requestsPerS, deadlyPerS, deadlyRequestPerS = 0, crashShare, crashEveryMs, crashSpreadMs } = this.options
    if (this.#happens(requestsPerS)) this.#send([...this.#soundParts(), this.#soundKey()], 1)
    const isWarm = this.#nowMs >= WARM_UP_MS
    if (isWarm && this.#happens(deadlyPerS)) this.#send([...this.#soundParts(), DEADLY, `${DEADLY_PREFIX}${this.#nowMs}`], 1)
    if (isWarm && this.#happens(deadlyRequestPerS)) this.#send(['first-0', 'session-0-0', DEADLY_REQUEST], 1)
    if (isWarm && crashShare > 0 && this.#random() < STEP_MS / crashEveryMs) {
      this.#crashAtMs.forEach((_, runner) => {
        if (this.#random() < crashShare) this.#crashAtMs[runner] = this.#nowMs + this.#random() * crashSpreadMs
      })
    }
    this.#crashAtMs.forEach((atMs, runner) => { if (atMs <= this.#nowMs) this.#end(runner) })
    this.#restartHosts(isWarm)
    this.#decide()
    this.#repeat()
    this.#serve()
  }

  /** Begins and completes what is due at the runners. */
  #serve (): void {
    for (const request of [...this.#sent]) {
      if (!this.#sent.includes(request) || request.beginsMs > this.#nowMs) continue
      const { featureIds, runner, beginsMs } = request
      if (featureIds.includes(DEADLY) || featureIds.includes(DEADLY_REQUEST)) {
        const ends = featureIds.includes(DEADLY) ? this.#deadlyEnds : this.#deadlyRequestEnds
        ends.push({ atMs: this.#nowMs, inContact: this.#nowMs - this.#restartedMs >= CONTACT_MS })
        this.#end(runner)
      } else if (!request.begun) {
        request.begun = true
        this.#evidence.onAnswer(featureIds.slice(0, -1), this.#nowMs)
        for (const key of featureIds.slice(-1)) this.#evidence.onRequestBegun(key, this.#nowMs)
      } else if (beginsMs + ANSWER_MS <= this.#nowMs) {
        this.#sent.splice(this.#sent.indexOf(request), 1)
        this.#evidence.onAnswer(featureIds, this.#nowMs)
      }
    }
  }

  #end (runner: number): void {
    const { maxSendings = 2 } = this.options
    this.#ends += 1
    this.#crashAtMs[runner] = Infinity
    this.#upAtMs[runner] = this.#nowMs + RESTART_MS
    const present = this.#sent.filter((request) => request.runner === runner)
    this.#sent = this.#sent.filter((request) => request.runner !== runner)
    const requests = present.filter(({ begun }) => !begun).map(({ featureIds }) => featureIds)
    const running = present.filter(({ begun }) => begun).flatMap(({ featureIds }) => featureIds.slice(-1))
    this.#evidence.addEnd({ process: `${runner}/${this.#nowMs}`, endedMs: this.#nowMs, requests, running, inherited: false })
    this.#decisionAtMs = Math.min(this.#decisionAtMs, this.#nowMs + DECISION_MS)
    const repeated = present.filter(({ sendings }) => sendings < maxSendings)
    this.#repeats.push(...repeated.map(({ featureIds, sendings }) => ({ atMs: this.#nowMs + REPEAT_MS, featureIds, sendings: sendings + 1 })))
  }

  /** What hosts knew is lost but for blocks and the record on the platform, which may be a second old. */
  #restartHosts (isWarm: boolean): void {
    const { restartEveryMs } = this.options
    if (restartEveryMs === undefined) return
    if (isWarm && this.#random() < STEP_MS / restartEveryMs) {
      this.#evidence = CrashEvidence.create(this.#nowMs)
      this.#restartedMs = this.#nowMs
      for (const end of this.#stored) this.#evidence.addEnd({ ...end, inherited: true })
      this.#sent = []
      this.#repeats = []
      this.#decisionAtMs = this.#nowMs + DECISION_MS
    }
    if (this.#nowMs % STORE_MS === 0) this.#stored = this.#evidence.endRecords().map((end) => this.#evidence.suspectsOf(end, MIN_STORED_ENDS))
  }

  #decide (): void {
    if (this.#nowMs < this.#decisionAtMs) return
    this.#decisionAtMs = Infinity
    for (;;) {
      const decisions = this.#evidence.nextBlocks((featureId) => this.#blocked.has(featureId))
      if (decisions.length === 0) break
      for (const { featureId } of decisions) this.#blocked.add(featureId)
    }
    this.#sent = this.#sent.filter(({ featureIds, begun }) => begun || !this.#isBlocked(featureIds))
  }

  #repeat (): void {
    const due = this.#repeats.filter(({ atMs }) => atMs <= this.#nowMs)
    this.#repeats = this.#repeats.filter(({ atMs }) => atMs > this.#nowMs)
    for (const { featureIds, sendings } of due) this.#send(featureIds, sendings)
  }

  #send (featureIds: string[], sendings: number): void {
    const up = this.#upAtMs.flatMap((upAtMs, runner) => upAtMs <= this.#nowMs ? [runner] : [])
    const runner = up[Math.floor(this.#random() * up.length)]
    if (runner === undefined || this.#isBlocked(featureIds)) return
    this.#sent.push({ featureIds, runner, beginsMs: this.#nowMs + 40 + this.#random() * this.options.maxQueueMs, begun: false, sendings })
  }

  #isBlocked (featureIds: readonly string[]): boolean {
    return featureIds.some((featureId) => this.#blocked.has(featureId))
  }

  #soundParts (): string[] {
    const first = Math.floor(this.#random() ** 2 * FIRST_PARTS)
    const session = Math.floor(this.#random() ** 3 * SESSIONS)
    return [`first-${first}`, `session-${first}-${session}`]
  }

  #soundKey (): string {
    this.#soundRequests += 1
    return this.#random() < (this.options.alikeShare ?? 0) ? ALIKE_REQUEST : `request-${this.#soundRequests}`
  }

  #happens (perS: number): boolean {
    return this.#random() < perS * STEP_MS / 1_000
  }
}

export function replay (options: ReplayOptions): ReplayResult {
  return new Replay(options).run()
}
