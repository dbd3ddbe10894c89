import { Ran, type ResultCodeInfo } from './codes.js'

/** A typed error: result code, human-readable message, and whether the request ran. */
export type Failure = {
  readonly code: ResultCodeInfo
  readonly message: string
  readonly ran: Ran
  /** Time to wait before a retry, in milliseconds. */
  readonly retryAfterMs?: number
}

/** JSON form of a failure, as sent to callers. */
export type FailureBody = {
  error: { code: number, type: string, message: string, ran: Ran, retryAfterMs?: number }
}

/** Creates a failure; `ran` defaults to the value of the result code. */
export function createFailure (
  code: ResultCodeInfo,
  message: string,
  options: { ran?: Ran, retryAfterMs?: number } = {}
): Failure {
  const failure = { code, message, ran: options.ran ?? code.ran }
  if (options.retryAfterMs === undefined) return failure
  return { ...failure, retryAfterMs: Math.max(0, Math.ceil(options.retryAfterMs)) }
}

/** Converts a failure to the response body that callers receive. */
export function toFailureBody (failure: Failure): FailureBody {
  const { code, message, ran, retryAfterMs } = failure
  const error = { code: code.code, type: code.type, message, ran }
  return { error: retryAfterMs === undefined ? error : { ...error, retryAfterMs } }
}
