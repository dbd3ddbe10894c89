/**
 * Handles uncaught exceptions and unhandled rejections. They are logged and the process continues, since it serves many
 * callers that are not affected by the error. Many such errors in a short time stop a process that doesn't serve any more: an error
 * may come with each request to one faulty runner, and must not end a host that serves all others.
 */
import type { EventEmitter } from 'node:events'
import type { Clock } from '../clock/clock.js'
import type { Logger } from '../logs/logs.js'

/** More errors than this within the window indicate a permanent fault, and a process that doesn't serve is stopped. */
const MAX_ERRORS = 20
const WINDOW_MS = 10_000
/** Shortest time between two lines on errors of the same place. */
const LOG_INTERVAL_MS = 1_000
/** Places of which the last line is remembered; a fault has few. */
const MAX_PLACES = 100

export type ProcessGuardOptions = {
  /** The process, or an emitter in its place in tests. */
  process: EventEmitter
  clock: Clock
  log: Logger
  /** Stops the process; called once. */
  stop: () => void
  /** Whether the process still serves; if absent, it counts as one that doesn't. */
  isServing?: (() => boolean) | undefined
}

export class ProcessGuard {
  #errorTimesMs: number[] = []
  /** Errors since the start. */
  #total = 0
  /** When the last line was written, by the place of the error. */
  readonly #lastLineMs = new Map<string, number>()
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
    const nowMs = this.options.clock.monotonicMs()
    this.#errorTimesMs = [...this.#errorTimesMs.filter((atMs) => nowMs - atMs < WINDOW_MS).slice(-MAX_ERRORS), nowMs]
    this.#total += 1
    this.#logError(error instanceof Error ? error : new Error(String(error)), kind, nowMs)
    this.#stopIfPermanent()
  }

  #logError ({ message, stack }: Error, kind: string, nowMs: number): void {
    const place = placeOf(stack) ?? message
    const lastLineMs = this.#lastLineMs.get(place)
    if (lastLineMs !== undefined && nowMs - lastLineMs < LOG_INTERVAL_MS) return
    if (this.#lastLineMs.size >= MAX_PLACES) this.#lastLineMs.clear()
    this.#lastLineMs.set(place, nowMs)
    this.options.log.error('unexpected error', { kind, reason: message, stack, total: this.#total })
  }

  #stopIfPermanent (): void {
    const { log, stop, isServing } = this.options
    if (this.#stopped || this.#errorTimesMs.length <= MAX_ERRORS || isServing?.() === true) return
    this.#stopped = true
    log.error('too many unexpected errors, stopping', { withinMs: WINDOW_MS })
    stop()
  }
}

/** Where an error arose: the first call of its stack. */
function placeOf (stack: string | undefined): string | undefined {
  return /^\s+at .*$/m.exec(stack ?? '')?.[0]
}
