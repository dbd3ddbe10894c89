/**
 * Replays a service whose runners end for reasons of their own, and under requests with a deadly part, on simulated time, and
 * records which parts are blocked. Requests have a popular first part and one of many sessions.
 */
import { createRandom } from '../../testing/seeded-random.js'
import { CrashEvidence } from '../crash-evidence.js'

export const DEADLY = 'deadly'
const STEP_MS = 10
const RUN_MS = 60_000
/** Until then only sound requests come, so that parts have a history. */
const WARM_UP_MS = 5_000
const RUNNERS = 13
const RESTART_MS = 3_300
const FIRST_PARTS = 5
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
}

export type ReplayResult = {
  /** Sound parts that were blocked. */
  falseBlocks: string[]
  /** Ends of runners, whatever their cause. */
  ends: number
  /** Times of the ends under deadly requests. */
  deadlyEndsMs: number[]
  blocked: boolean
}

type Waiting = { featureIds: string[], runner: number, beginsMs: number, retried: boolean }

class Replay {
  readonly #evidence = CrashEvidence.create()
  readonly #blocked = new Set<string>()
  readonly #upAtMs = new Array<number>(RUNNERS).fill(0)
  readonly #crashAtMs = new Array<number>(RUNNERS).fill(Infinity)
  readonly #random: () => number
  #waiting: Waiting[] = []
  readonly #deadlyEndsMs: number[] = []
  #ends = 0
  #nowMs = 0

  constructor (private readonly options: ReplayOptions) {
    this.#random = createRandom(options.seed)
  }

  run (): ReplayResult {
    for (; this.#nowMs < RUN_MS; this.#nowMs += STEP_MS) this.#step()
    return { falseBlocks: [...this.#blocked].filter((featureId) => featureId !== DEADLY), ends: this.#ends, deadlyEndsMs: this.#deadlyEndsMs, blocked: this.#blocked.has(DEADLY) }
  }

  #step (): void {
    const { requestsPerS, deadlyPerS, crashShare, crashEveryMs, crashSpreadMs } = this.options
    if (this.#happens(requestsPerS)) this.#send(this.#soundParts(), false)
    const isWarm = this.#nowMs >= WARM_UP_MS
    if (isWarm && this.#happens(deadlyPerS)) this.#send([...this.#soundParts(), DEADLY], false)
    if (isWarm && crashShare > 0 && this.#random() < STEP_MS / crashEveryMs) {
      this.#crashAtMs.forEach((_, runner) => {
        if (this.#random() < crashShare) this.#crashAtMs[runner] = this.#nowMs + this.#random() * crashSpreadMs
      })
    }
    this.#crashAtMs.forEach((atMs, runner) => { if (atMs <= this.#nowMs) this.#end(runner) })
    this.#begin()
  }

  #begin (): void {
    const due = this.#waiting.filter(({ beginsMs }) => beginsMs <= this.#nowMs)
    for (const request of due) {
      if (!this.#waiting.includes(request)) continue
      if (request.featureIds.includes(DEADLY)) {
        this.#deadlyEndsMs.push(this.#nowMs)
        this.#end(request.runner)
        continue
      }
      this.#waiting.splice(this.#waiting.indexOf(request), 1)
      this.#evidence.onBegun(request.featureIds, this.#nowMs)
    }
  }

  #end (runner: number): void {
    this.#ends += 1
    this.#crashAtMs[runner] = Infinity
    this.#upAtMs[runner] = this.#nowMs + RESTART_MS
    const present = this.#waiting.filter((request) => request.runner === runner)
    this.#waiting = this.#waiting.filter((request) => request.runner !== runner)
    this.#evidence.addEnd({ process: `${runner}/${this.#nowMs}`, endedMs: this.#nowMs, requests: present.map(({ featureIds }) => featureIds) })
    for (;;) {
      const decision = this.#evidence.nextBlock((featureId) => this.#blocked.has(featureId))
      if (decision === undefined) break
      this.#blocked.add(decision.featureId)
    }
    this.#waiting = this.#waiting.filter(({ featureIds }) => !featureIds.some((featureId) => this.#blocked.has(featureId)))
    for (const { featureIds, retried } of present) if (!retried) this.#send(featureIds, true)
  }

  #send (featureIds: string[], retried: boolean): void {
    const up = this.#upAtMs.flatMap((upAtMs, runner) => upAtMs <= this.#nowMs ? [runner] : [])
    const runner = up[Math.floor(this.#random() * up.length)]
    if (runner === undefined || featureIds.some((featureId) => this.#blocked.has(featureId))) return
    this.#waiting.push({ featureIds, runner, beginsMs: this.#nowMs + 40 + this.#random() * this.options.maxQueueMs, retried })
  }

  #soundParts (): string[] {
    const first = Math.floor(this.#random() ** 2 * FIRST_PARTS)
    const session = Math.floor(this.#random() ** 3 * SESSIONS)
    return [`first-${first}`, `session-${first}-${session}`]
  }

  #happens (perS: number): boolean {
    return this.#random() < perS * STEP_MS / 1_000
  }
}

export function replay (options: ReplayOptions): ReplayResult {
  return new Replay(options).run()
}
