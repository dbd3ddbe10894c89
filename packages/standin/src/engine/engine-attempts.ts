import type { Clock, Timer } from '@figloom/runtime'
import { copyKey, type EngineMemory } from './engine-memory.js'
import type { Gate } from './freeze-gate.js'
import { PREFIX_CHARACTERS, type PrefixCache } from './prefix-cache.js'
import { tokensOf } from './tokens.js'
import type { EngineConfig, GenerateRequest, GenerateSink } from './types.js'

type FinalState = 'finished' | 'stopped' | 'not-started'
type AttemptState = 'queued' | 'running' | FinalState
type Attempt = {
  request: GenerateRequest
  sink: GenerateSink
  key: string
  state: AttemptState
  tokenOf: (index: number) => string
  timer?: Timer
}

/** Answer to a cancel. */
export type CancelOutcome = 'not-started' | 'stopped' | 'finished' | 'unknown'

const KEPT_ATTEMPTS = 100_000
const KEPT_RUNS = 20_000
const CHARACTERS_PER_TOKEN = 4

/** Options of `EngineAttempts`. */
export type EngineAttemptsOptions = {
  clock: Clock
  config: EngineConfig
  memory: EngineMemory
  cache: PrefixCache
  gate: Gate
  replaced: boolean
  /** Added to the time of each token, in milliseconds. */
  slowTokenMs: () => number
}

/** Runs generations: a limited number at once, the rest queued by priority and order of arrival. */
export class EngineAttempts {
  readonly #queue: Attempt[] = []
  readonly #running = new Set<Attempt>()
  /** The latest attempts; once one has ended, only how. */
  readonly #latest = new Map<string, Attempt | FinalState>()
  /** Attempts cancelled before they arrived; they are refused when they do. */
  readonly #canceledAhead = new Set<string>()
  readonly #drains: { key: string, done: () => void }[] = []
  /** Runs begun per attempt id, of the latest attempts. */
  readonly runs = new Map<string, number>()
  readonly counts = { started: 0, finished: 0, canceled: 0, refused: 0, startedTwice: 0, peakRunning: 0 }

  private constructor (private readonly options: EngineAttemptsOptions) {}

  /** `replaced` says that an earlier process may have run attempts that this one does not know. */
  static create (options: EngineAttemptsOptions): EngineAttempts {
    return new EngineAttempts(options)
  }

  get running (): number {
    return this.#running.size
  }

  get queued (): number {
    return this.#queue.length
  }

  /** Queues or starts a generation. `not-resident` and `canceled`: it did not run and will not. */
  submit (request: GenerateRequest, sink: GenerateSink): 'accepted' | 'not-resident' | 'canceled' {
    if (this.#canceledAhead.has(request.attemptId)) return 'canceled'
    const copy = this.options.memory.residentCopy(request.model, request.version, request.adapter)
    if (copy === undefined) {
      this.counts.refused += 1
      return 'not-resident'
    }
    const attempt: Attempt = { request, sink, key: copyKey(copy.model, copy.version), state: 'queued', tokenOf: tokensOf(request.prompt) }
    this.#remember(request.attemptId, attempt)
    this.#queue.push(attempt)
    this.#startNext()
    return 'accepted'
  }

  /** Cancels an attempt; one that has not arrived yet is refused when it does. */
  cancel (attemptId: string): CancelOutcome {
    const attempt = this.#latest.get(attemptId)
    if (attempt === undefined) return this.#cancelAhead(attemptId)
    if (typeof attempt === 'string') return attempt
    if (attempt.state === 'queued') return this.#cancelQueued(attempt)
    this.#finish(attempt, 'stopped')
    return 'stopped'
  }

  /** Cuts everything off, as when the process dies. */
  abandon (): void {
    for (const attempt of this.#queue.splice(0)) {
      this.#end(attempt, 'not-started')
      attempt.sink.onCut()
    }
    for (const attempt of this.#running) {
      this.#end(attempt, 'stopped')
      attempt.sink.onCut()
    }
    this.#running.clear()
  }

  /** Refuses what queues for a copy and calls back once nothing runs on it. */
  drain (key: string, done: () => void): void {
    for (const attempt of this.#queue.filter((candidate) => candidate.key === key)) {
      this.#removeQueued(attempt)
      this.counts.refused += 1
      attempt.sink.onRefused()
    }
    this.#drains.push({ key, done })
    this.#noteDrained()
  }

  /** Another attempt that runs now, for crossed answers. */
  otherThan (attemptId: string): GenerateRequest | undefined {
    for (const { request } of this.#running) if (request.attemptId !== attemptId) return request
    return undefined
  }

  #cancelAhead (attemptId: string): CancelOutcome {
    if (this.options.replaced || this.#latest.size >= KEPT_ATTEMPTS) return 'unknown'
    this.#canceledAhead.add(attemptId)
    return 'not-started'
  }

  #cancelQueued (attempt: Attempt): CancelOutcome {
    this.#removeQueued(attempt)
    this.counts.canceled += 1
    attempt.sink.onCanceled(false)
    return 'not-started'
  }

  #removeQueued (attempt: Attempt): void {
    this.#queue.splice(this.#queue.indexOf(attempt), 1)
    this.#end(attempt, 'not-started')
  }

  #end (attempt: Attempt, state: FinalState): void {
    attempt.state = state
    attempt.timer?.cancel()
    if (this.#latest.get(attempt.request.attemptId) === attempt) this.#latest.set(attempt.request.attemptId, state)
  }

  #startNext (): void {
    while (this.#running.size < this.options.config.slots && this.#queue.length > 0) {
      const interactive = this.#queue.findIndex(({ request }) => request.priority === 'interactive')
      const [attempt] = this.#queue.splice(Math.max(0, interactive), 1)
      if (attempt !== undefined) this.#start(attempt)
    }
  }

  #start (attempt: Attempt): void {
    const { request } = attempt
    attempt.state = 'running'
    this.#running.add(attempt)
    this.#countRun(request.attemptId)
    const cachedCharacters = this.options.cache.use(request.model, request.prompt) ? PREFIX_CHARACTERS : 0
    const prefillTokens = Math.ceil(Math.max(0, request.prompt.length - cachedCharacters) / CHARACTERS_PER_TOKEN)
    this.#schedule(attempt, request.resumeFrom, this.options.config.firstTokenMs + prefillTokens * this.options.config.prefillTokenMs)
  }

  #schedule (attempt: Attempt, index: number, delayMs: number): void {
    const { clock, gate, slowTokenMs } = this.options
    attempt.timer = clock.setTimer(delayMs + slowTokenMs(), () => gate.run(() => this.#emit(attempt, index)))
  }

  #emit (attempt: Attempt, index: number): void {
    if (attempt.state !== 'running') return
    const { maxTokens } = attempt.request
    if (index < maxTokens) attempt.sink.onToken(index, attempt.tokenOf(index))
    if (index + 1 >= maxTokens) this.#finish(attempt, 'finished')
    else this.#schedule(attempt, index + 1, this.options.config.tokenMs)
  }

  #finish (attempt: Attempt, state: 'finished' | 'stopped'): void {
    this.#end(attempt, state)
    this.#running.delete(attempt)
    if (state === 'finished') {
      this.counts.finished += 1
      attempt.sink.onEnd()
    } else {
      this.counts.canceled += 1
      attempt.sink.onCanceled(true)
    }
    this.#noteDrained()
    this.#startNext()
  }

  #noteDrained (): void {
    for (const drain of [...this.#drains]) {
      if ([...this.#running].some(({ key }) => key === drain.key)) continue
      this.#drains.splice(this.#drains.indexOf(drain), 1)
      drain.done()
    }
  }

  #countRun (attemptId: string): void {
    const runs = (this.runs.get(attemptId) ?? 0) + 1
    this.runs.set(attemptId, runs)
    this.counts.started += 1
    if (runs === 2) this.counts.startedTwice += 1
    this.counts.peakRunning = Math.max(this.counts.peakRunning, this.#running.size)
    if (this.runs.size > KEPT_RUNS) this.runs.delete(this.runs.keys().next().value as string)
  }

  #remember (attemptId: string, attempt: Attempt): void {
    this.#latest.delete(attemptId)
    this.#latest.set(attemptId, attempt)
    if (this.#latest.size > KEPT_ATTEMPTS) this.#latest.delete(this.#latest.keys().next().value as string)
  }
}
