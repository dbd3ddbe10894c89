import { createFailure, Ran, type Failure } from '@figloom/runtime'

/** Remembers over all attempts of a request whether one of them can have run. */
export class RunCertainty {
  #mayHaveRun = false

  static create (): RunCertainty {
    return new RunCertainty()
  }

  note (failure: Failure): void {
    if (failure.ran !== Ran.No) this.#mayHaveRun = true
  }

  /** The final failure as the caller may be told it: `no` only if no attempt can have run. */
  final (failure: Failure): Failure {
    if (!this.#mayHaveRun || failure.ran === Ran.Unknown) return failure
    const { code, message, retryAfterMs } = failure
    return createFailure(code, message, { ran: Ran.Unknown, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })
  }
}
