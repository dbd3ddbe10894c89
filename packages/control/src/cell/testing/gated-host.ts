/** A host process that a test can freeze and kill. While it is frozen none of its code runs, but time advances. */
import { ResultAsync, type Result } from 'neverthrow'
import { Clock, type Timer } from '@figloom/runtime'
import { EngineClient, LogClient, type EngineOrder, type ReadOptions } from '@figloom/clients'

/** Defers the callbacks that would wake the process, and runs them when it is thawed. */
export class Gate {
  #frozen = false
  #dead = false
  #queue: (() => void)[] = []

  get isOpen (): boolean {
    return !this.#frozen && !this.#dead
  }

  freeze (): void {
    this.#frozen = true
  }

  /** Runs the deferred callbacks in order of arrival. */
  thaw (): void {
    if (this.#dead) return
    this.#frozen = false
    const queue = this.#queue
    this.#queue = []
    for (const run of queue) run()
  }

  kill (): void {
    this.#dead = true
    this.#queue = []
  }

  pass (run: () => void): void {
    if (this.isOpen) run()
    else if (!this.#dead) this.#queue.push(run)
  }

  opened (): Promise<void> {
    return new Promise((resolve) => { this.pass(resolve) })
  }
}

export class GatedClock extends Clock {
  private constructor (private readonly inner: Clock, private readonly gate: Gate) {
    super()
  }

  static create (inner: Clock, gate: Gate): GatedClock {
    return new GatedClock(inner, gate)
  }

  override now (): Date {
    return this.inner.now()
  }

  override monotonicMs (): number {
    return this.inner.monotonicMs()
  }

  override setTimer (delayMs: number, callback: () => void): Timer {
    let canceled = false
    const timer = this.inner.setTimer(delayMs, () => this.gate.pass(() => { if (!canceled) callback() }))
    return {
      cancel: () => {
        canceled = true
        timer.cancel()
      }
    }
  }
}

export class GatedLog extends LogClient {
  private constructor (private readonly inner: LogClient, private readonly gate: Gate) {
    super()
  }

  static create (inner: LogClient, gate: Gate): GatedLog {
    return new GatedLog(inner, gate)
  }

  override append (stream: string, recordId: string, body: unknown, signal?: AbortSignal): ReturnType<LogClient['append']> {
    return gated(this.gate, () => this.inner.append(stream, recordId, body, signal))
  }

  override read (stream: string, options: ReadOptions): ReturnType<LogClient['read']> {
    return gated(this.gate, () => this.inner.read(stream, options))
  }
}

export class GatedEngines extends EngineClient {
  /** Checked before the process sends an order; true freezes the process at that point. */
  freezeBefore: (order: EngineOrder) => boolean = () => false

  private constructor (private readonly inner: EngineClient, private readonly gate: Gate) {
    super()
  }

  static create (inner: EngineClient, gate: Gate): GatedEngines {
    return new GatedEngines(inner, gate)
  }

  override order (runnerUrl: string, order: EngineOrder): ReturnType<EngineClient['order']> {
    if (this.freezeBefore(order)) this.gate.freeze()
    return gated(this.gate, () => this.inner.order(runnerUrl, order))
  }

  override report (runnerUrl: string): ReturnType<EngineClient['report']> {
    return gated(this.gate, () => this.inner.report(runnerUrl))
  }

  override cacheEvents (runnerUrl: string, fromSequence: number): ReturnType<EngineClient['cacheEvents']> {
    return gated(this.gate, () => this.inner.cacheEvents(runnerUrl, fromSequence))
  }

  override cancel (runnerUrl: string, attemptId: string): ReturnType<EngineClient['cancel']> {
    return gated(this.gate, () => this.inner.cancel(runnerUrl, attemptId))
  }
}

function gated<T, E> (gate: Gate, call: () => ResultAsync<T, E>): ResultAsync<T, E> {
  const run = async (): Promise<Result<T, E>> => {
    await gate.opened()
    const result = await call()
    await gate.opened()
    return result
  }
  return new ResultAsync(run())
}
