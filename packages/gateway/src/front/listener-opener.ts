/**
 * Opens the listeners of a host. Their addresses may still be held by the process that this one replaces, for as long as its grace
 * lasts, or may not be there yet; then it tries again, within one bound for all listeners.
 */
import type { Clock, Logger } from '@figloom/runtime'
import { ListenError } from './listen-error.js'

const RETRY_INTERVAL_MS = 100
/** Shortest time between two lines on the same listener. */
const LOG_INTERVAL_MS = 2_000
/** Codes of errors that pass by themselves. */
const PASSING_CODES = new Set(['EADDRINUSE', 'EADDRNOTAVAIL'])

export type ListenerOpenerOptions = {
  clock: Clock
  log: Logger
  /** Time for all listeners together. */
  withinMs: number
  /** Whether the attempts are to end. */
  isStopped: () => boolean
}

export class ListenerOpener {
  readonly #endMs: number

  private constructor (private readonly options: ListenerOpenerOptions) {
    this.#endMs = options.clock.monotonicMs() + options.withinMs
  }

  static create (options: ListenerOpenerOptions): ListenerOpener {
    return new ListenerOpener(options)
  }

  /** Rejects with the ListenError of the last attempt. */
  async open (listen: () => Promise<void>): Promise<void> {
    const { clock, isStopped } = this.options
    let nextLineMs = clock.monotonicMs()
    for (;;) {
      const error = await listen().then(() => undefined, (reason: unknown) => reason)
      if (error === undefined) return
      const nowMs = clock.monotonicMs()
      if (!isPassing(error) || isStopped() || nowMs >= this.#endMs) throw error
      if (nowMs >= nextLineMs) {
        this.#logFailure(error)
        nextLineMs = nowMs + LOG_INTERVAL_MS
      }
      await clock.sleep(RETRY_INTERVAL_MS)
    }
  }

  #logFailure ({ address, systemCode }: ListenError): void {
    const { log, withinMs } = this.options
    log.warn('listener can not be opened yet; trying again', { address, systemCode, withinMs })
  }
}

function isPassing (error: unknown): error is ListenError {
  return error instanceof ListenError && PASSING_CODES.has(error.systemCode)
}
