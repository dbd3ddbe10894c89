/**
 * Handles uncaught exceptions and unhandled rejections. They are logged and the process continues, since it serves many
 * callers that are not affected by the error. Many such errors in a short time stop the process.
 */
import type { EventEmitter } from 'node:events'
import type { Clock } from '../clock/clock.js'
import type { Logger } from '../logs/logs.js'

/** More errors than this within the window indicate a permanent fault, and the process is stopped. */
const MAX_ERRORS = 20
const WINDOW_MS = 10_000

export type ProcessGuardOptions = {
  /** The process, or an emitter in its place in tests. */
  process: EventEmitter
  clock: Clock
  log: Logger
  /** Stops the process; called once. */
  stop: () => void
}

export class ProcessGuard {
  #errorTimesMs: number[] = []
  #stopped = false

  private constructor (private readonly options: ProcessGuardOptions) {}

  /** Installs the handlers. */
  static create (options: ProcessGuardOptions): ProcessGuard {
    const guard = new ProcessGuard(options)
    options.process.on('uncaughtException', (error: unknown) => guard.#onError(error, 'uncaught exception'))
    options.process.on('unhandledRejection', (error: unknown) => guard.#onError(error, 'unhandled rejection'))
    return guard
  }

  #onError (error: unknown, kind: string): void {
    const { clock, log, stop } = this.options
    const nowMs = clock.monotonicMs()
    this.#errorTimesMs = [...this.#errorTimesMs.filter((atMs) => nowMs - atMs < WINDOW_MS), nowMs]
    const { message, stack } = error instanceof Error ? error : new Error(String(error))
    log.error('unexpected error', { kind, reason: message, stack, lately: this.#errorTimesMs.length })
    if (this.#stopped || this.#errorTimesMs.length <= MAX_ERRORS) return
    this.#stopped = true
    log.error('too many unexpected errors, stopping', { withinMs: WINDOW_MS })
    stop()
  }
}
