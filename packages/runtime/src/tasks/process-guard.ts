/**
 * The last resort for errors that nobody expected: they are written to the log and the process goes on, since it serves many
 * callers who have nothing to do with one of them. A process that meets many in a short time is stopped.
 */
import type { EventEmitter } from 'node:events'
import type { Clock } from '../clock/clock.js'
import type { Logger } from '../logs/logs.js'

/** More errors than this within the window point to a fault that won't pass. */
const MAX_ERRORS = 20
const WINDOW_MS = 10_000

export type ProcessGuardParts = {
  /** The process, or what stands for it in tests. */
  process: EventEmitter
  clock: Clock
  log: Logger
  /** Stops the process; called once. */
  stop: () => void
}

export class ProcessGuard {
  #errorsMs: number[] = []
  #stopped = false

  private constructor (private readonly parts: ProcessGuardParts) {}

  /** Guards the process from now on. */
  static create (parts: ProcessGuardParts): ProcessGuard {
    const guard = new ProcessGuard(parts)
    parts.process.on('uncaughtException', (error: unknown) => guard.#onError(error, 'uncaught exception'))
    parts.process.on('unhandledRejection', (error: unknown) => guard.#onError(error, 'unhandled rejection'))
    return guard
  }

  #onError (error: unknown, kind: string): void {
    const { clock, log, stop } = this.parts
    const nowMs = clock.monotonicMs()
    this.#errorsMs = [...this.#errorsMs.filter((atMs) => nowMs - atMs < WINDOW_MS), nowMs]
    const { message, stack } = error instanceof Error ? error : new Error(String(error))
    log.error('unexpected error', { kind, reason: message, stack, lately: this.#errorsMs.length })
    if (this.#stopped || this.#errorsMs.length <= MAX_ERRORS) return
    this.#stopped = true
    log.error('too many unexpected errors, stopping', { withinMs: WINDOW_MS })
    stop()
  }
}
