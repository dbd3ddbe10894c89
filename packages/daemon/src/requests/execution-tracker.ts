import { createFailure, Ran, type Failure } from '@figloom/runtime'

/** Tracks across the attempts of one request whether a backend server may have run it. */
export class ExecutionTracker {
  #mayHaveRun = false

  static create (): ExecutionTracker {
    return new ExecutionTracker()
  }

  record (failure: Failure): void {
    if (failure.ran !== Ran.No) this.#mayHaveRun = true
  }

  /** Failure to report to the caller; its `ran` is `no` only if none of the attempts can have run. */
  toFinalFailure (failure: Failure): Failure {
    if (!this.#mayHaveRun || failure.ran === Ran.Unknown) return failure
    const { code, message, retryAfterMs } = failure
    return createFailure(code, message, { ran: Ran.Unknown, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })
  }
}
