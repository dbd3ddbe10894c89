/** Handle to cancel a timer. */
export type Timer = { cancel: () => void }

/** Source of time. It is passed to every task, so that tests can use a manual clock. */
export abstract class Clock {
  /** Wall-clock time; only for logs and records, never for safety decisions. */
  abstract now (): Date

  /** Monotonic time in milliseconds; durations and leases use no other time. */
  abstract monotonicMs (): number

  /** Calls `callback` once after `delayMs`. */
  abstract setTimer (delayMs: number, callback: () => void): Timer

  /** Resolves after `delayMs`, or early when `signal` aborts. */
  sleep (delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve()
    return new Promise((resolve) => {
      const finish = () => {
        timer.cancel()
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const timer = this.setTimer(delayMs, finish)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }
}

/** Clock of the operating system. */
export class SystemClock extends Clock {
  static create (): SystemClock {
    return new SystemClock()
  }

  override now (): Date {
    return new Date()
  }

  override monotonicMs (): number {
    return performance.now()
  }

  override setTimer (delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, delayMs)
    return { cancel: () => clearTimeout(handle) }
  }
}
