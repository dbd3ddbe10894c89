import type { Clock, Timer } from '@figloom/runtime'
import { copyKey, type EngineMemory } from './engine-memory.js'
import type { FreezeGate } from './freeze-gate.js'
import { PREFIX_CHARACTERS, type PrefixCache } from './prefix-cache.js'
import { createTokenGenerator } from './tokens.js'
import type { EngineConfig, GenerateRequest, GenerateSink } from './types.js'

type FinalState = 'finished' | 'stopped' | 'not-started'
type AttemptState = 'queued' | 'running' | FinalState
type Attempt = {
  request: GenerateRequest
  sink: GenerateSink
  /** Copy that the attempt runs on, as named by `copyKey`. */
  key: string
  state: AttemptState
  generateToken: (index: number) => string
  timer?: Timer
}

/** State in which a cancel left the attempt. `unknown`: this process can't tell. */
export type CancelOutcome = 'not-started' | 'stopped' | 'finished' | 'unknown'

const MAX_REMEMBERED_ATTEMPTS = 100_000
const MAX_RUN_COUNTS = 20_000
const CHARACTERS_PER_TOKEN = 4

/** Options of `EngineAttempts`. */
export type EngineAttemptsOptions = {
  clock: Clock
  config: EngineConfig
  memory: EngineMemory
  cache: PrefixCache
  gate: FreezeGate
  /** The engine was restarted: an earlier process may have run attempts that this one has no record of. */
  isRestarted: boolean
  /** Extra time for each token, in milliseconds. */
  slowTokenMs: () => number
}

/** Runs generations, a limited number concurrently. Further ones are queued by priority and order of arrival. */
export class EngineAttempts {
  readonly #queue: Attempt[] = []
  readonly #running = new Set<Attempt>()
  /** The most recent attempts by id. Of an attempt that has ended, only the final state. */
  readonly #recent = new Map<string, Attempt | FinalState>()
  /** Ids of attempts that were cancelled before they arrived; `submit` refuses them. */
  readonly #canceledBeforeArrival = new Set<string>()
  readonly #pendingDrains: { key: string, done: () => void }[] = []
  /** Number of runs started for each of the most recent attempt ids. */
  readonly runs = new Map<string, number>()
  readonly counts = { started: 0, finished: 0, canceled: 0, refused: 0, startedTwice: 0, peakRunning: 0 }

  private constructor (private readonly options: EngineAttemptsOptions) {}

  static create (options: EngineAttemptsOptions): EngineAttempts {
    return new EngineAttempts(options)
  }

  get running (): number {
    return this.#running.size
  }

  get queued (): number {
    return this.#queue.length
  }

  /** Starts or queues a generation. `not-resident` and `canceled` mean that it never runs. */
  submit (request: GenerateRequest, sink: GenerateSink): 'accepted' | 'not-resident' | 'canceled' {
    if (this.#canceledBeforeArrival.has(request.attemptId)) return 'canceled'
    const copy = this.options.memory.residentCopy(request.model, request.version, request.adapter)
    if (copy === undefined) {
      this.counts.refused += 1
      return 'not-resident'
    }
    const attempt: Attempt = {
      request, sink, key: copyKey(copy.model, copy.version), state: 'queued', generateToken: createTokenGenerator(request.prompt)
    }
    this.#remember(request.attemptId, attempt)
    this.#queue.push(attempt)
    this.#startNext()
    return 'accepted'
  }

  /** Cancels an attempt. An id that is not known yet is remembered, so that the attempt is refused when it arrives. */
  cancel (attemptId: string): CancelOutcome {
    const attempt = this.#recent.get(attemptId)
    if (attempt === undefined) return this.#cancelBeforeArrival(attemptId)
    if (typeof attempt === 'string') return attempt
    if (attempt.state === 'queued') return this.#cancelQueued(attempt)
    this.#finish(attempt, 'stopped')
    return 'stopped'
  }

  /** Ends all attempts as if the process had died. */
  terminateAll (): void {
    for (const attempt of this.#queue.splice(0)) {
      this.#setFinalState(attempt, 'not-started')
      attempt.sink.onProcessExit()
    }
    for (const attempt of this.#running) {
      this.#setFinalState(attempt, 'stopped')
      attempt.sink.onProcessExit()
    }
    this.#running.clear()
  }

  /** Refuses the attempts that are queued for a copy and calls `done` once none runs on it. */
  drain (key: string, done: () => void): void {
    for (const attempt of this.#queue.filter((candidate) => candidate.key === key)) {
      this.#removeQueued(attempt)
      this.counts.refused += 1
      attempt.sink.onRefused()
    }
    this.#pendingDrains.push({ key, done })
    this.#completeDrains()
  }

  /** The request of another running attempt, for the fault `crossAnswers`. */
  otherRunningRequest (attemptId: string): GenerateRequest | undefined {
    for (const { request } of this.#running) if (request.attemptId !== attemptId) return request
    return undefined
  }

  #cancelBeforeArrival (attemptId: string): CancelOutcome {
    if (this.options.isRestarted || this.#recent.size >= MAX_REMEMBERED_ATTEMPTS) return 'unknown'
    this.#canceledBeforeArrival.add(attemptId)
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
    this.#setFinalState(attempt, 'not-started')
  }

  #setFinalState (attempt: Attempt, state: FinalState): void {
    attempt.state = state
    attempt.timer?.cancel()
    if (this.#recent.get(attempt.request.attemptId) === attempt) this.#recent.set(attempt.request.attemptId, state)
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
    const cachedCharacters = this.options.cache.recordUse(request.model, request.prompt) ? PREFIX_CHARACTERS : 0
    const prefillTokens = Math.ceil(Math.max(0, request.prompt.length - cachedCharacters) / CHARACTERS_PER_TOKEN)
    this.#scheduleToken(attempt, request.resumeFrom, this.options.config.firstTokenMs + prefillTokens * this.options.config.prefillTokenMs)
  }

  #scheduleToken (attempt: Attempt, index: number, delayMs: number): void {
    const { clock, gate, slowTokenMs } = this.options
    attempt.timer = clock.setTimer(delayMs + slowTokenMs(), () => gate.whenUnfrozen(() => this.#emitToken(attempt, index)))
  }

  #emitToken (attempt: Attempt, index: number): void {
    if (attempt.state !== 'running') return
    const { maxTokens } = attempt.request
    if (index < maxTokens) attempt.sink.onToken(index, attempt.generateToken(index))
    if (index + 1 >= maxTokens) this.#finish(attempt, 'finished')
    else this.#scheduleToken(attempt, index + 1, this.options.config.tokenMs)
  }

  #finish (attempt: Attempt, state: 'finished' | 'stopped'): void {
    this.#setFinalState(attempt, state)
    this.#running.delete(attempt)
    if (state === 'finished') {
      this.counts.finished += 1
      attempt.sink.onEnd()
    } else {
      this.counts.canceled += 1
      attempt.sink.onCanceled(true)
    }
    this.#completeDrains()
    this.#startNext()
  }

  #completeDrains (): void {
    for (const drain of [...this.#pendingDrains]) {
      if ([...this.#running].some(({ key }) => key === drain.key)) continue
      this.#pendingDrains.splice(this.#pendingDrains.indexOf(drain), 1)
      drain.done()
    }
  }

  #countRun (attemptId: string): void {
    const runs = (this.runs.get(attemptId) ?? 0) + 1
    this.runs.set(attemptId, runs)
    this.counts.started += 1
    if (runs === 2) this.counts.startedTwice += 1
    this.counts.peakRunning = Math.max(this.counts.peakRunning, this.#running.size)
    if (this.runs.size > MAX_RUN_COUNTS) this.runs.delete(this.runs.keys().next().value as string)
  }

  #remember (attemptId: string, attempt: Attempt): void {
    this.#recent.delete(attemptId)
    this.#recent.set(attemptId, attempt)
    if (this.#recent.size > MAX_REMEMBERED_ATTEMPTS) this.#recent.delete(this.#recent.keys().next().value as string)
  }
}
