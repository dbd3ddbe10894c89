import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { createFailure, ResultCode, type Clock, type Failure } from '@figloom/runtime'
import { EngineClient, type CacheEventPage, type EngineOrder, type EngineReport, type OrderOutcome } from '@figloom/clients'
import type { CancelOutcome } from './engine-attempts.js'
import { EngineCore, type EngineCoreOptions } from './engine-core.js'

const DEFAULT_TIMEOUT_MS = 2_000

/** Engines in memory, found by the address of their runner. A call that gets no answer fails after `timeoutMs`. */
export class MemoryEngines extends EngineClient {
  readonly engines = new Map<string, EngineCore>()

  private constructor (private readonly clock: Clock, private readonly timeoutMs: number) {
    super()
  }

  static create (options: { clock: Clock, timeoutMs?: number }): MemoryEngines {
    return new MemoryEngines(options.clock, options.timeoutMs ?? DEFAULT_TIMEOUT_MS)
  }

  /** Adds an engine at an address and returns it, for its faults and figures. */
  add (runnerUrl: string, options: Omit<EngineCoreOptions, 'clock'> = {}): EngineCore {
    const engine = EngineCore.create({ clock: this.clock, ...options })
    this.engines.set(runnerUrl, engine)
    return engine
  }

  /** Takes an engine away; calls to its address are refused as not sent. */
  remove (runnerUrl: string): void {
    this.engines.delete(runnerUrl)
  }

  override order (runnerUrl: string, order: EngineOrder, signal?: AbortSignal): ResultAsync<OrderOutcome, Failure> {
    return this.#call(runnerUrl, (engine) => engine.order(structuredClone(order)), signal)
  }

  override report (runnerUrl: string, signal?: AbortSignal): ResultAsync<EngineReport, Failure> {
    return this.#call(runnerUrl, (engine) => engine.report(), signal).map((report) => structuredClone(report))
  }

  override cacheEvents (runnerUrl: string, fromSequence: number, signal?: AbortSignal): ResultAsync<CacheEventPage, Failure> {
    return this.#call(runnerUrl, (engine) => engine.cacheEvents(fromSequence), signal)
  }

  override cancel (runnerUrl: string, attemptId: string, signal?: AbortSignal): ResultAsync<{ outcome: CancelOutcome }, Failure> {
    return this.#call(runnerUrl, (engine) => engine.cancel(attemptId), signal).map((outcome) => ({ outcome }))
  }

  #call<T> (runnerUrl: string, run: (engine: EngineCore) => Promise<T | undefined>, signal?: AbortSignal): ResultAsync<T, Failure> {
    return new ResultAsync(this.#answerOrTimeout(runnerUrl, run, signal))
  }

  /** What was delivered takes its course also if the caller stops waiting. */
  async #answerOrTimeout<T> (runnerUrl: string, run: (engine: EngineCore) => Promise<T | undefined>, signal?: AbortSignal): Promise<Result<T, Failure>> {
    const engine = this.engines.get(runnerUrl)
    if (engine === undefined) return err(createFailure(ResultCode.PlatformUnavailable, 'connection refused', { ran: 'no' }))
    const ended = new AbortController()
    const waited = this.clock.sleep(this.timeoutMs, anySignal(ended.signal, signal)).then(() => undefined)
    const answer = await Promise.race([run(engine), waited])
    ended.abort()
    if (answer === undefined) return err(createFailure(ResultCode.PlatformUnavailable, 'the engine did not answer'))
    return ok(answer)
  }
}

function anySignal (first: AbortSignal, second: AbortSignal | undefined): AbortSignal {
  return second === undefined ? first : AbortSignal.any([first, second])
}
