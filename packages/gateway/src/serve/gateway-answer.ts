/** Answers that the gateway produces itself: refusals and failures with a numeric code. */
import type { ServerResponse } from 'node:http'
import { toFailureBody, type Failure } from '@figloom/runtime'

const UNAUTHORIZED_STATUS = 401

/**
 * Writes a failure as JSON; `closeConnection` makes the caller open a new connection for its next request. An answer that has begun
 * can't become a failure: its connection is closed, so that it isn't whole and its caller doesn't wait.
 */
export function writeFailure (response: ServerResponse, failure: Failure, closeConnection: boolean): void {
  if (response.destroyed || response.writableEnded) return
  if (response.headersSent) {
    response.destroy()
    return
  }
  const body = JSON.stringify(toFailureBody(failure))
  const headers: Record<string, string | number> = {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body)
  }
  if (failure.retryAfterMs !== undefined) headers['Retry-After'] = formatSeconds(failure.retryAfterMs)
  if (failure.code.httpStatus === UNAUTHORIZED_STATUS) headers['WWW-Authenticate'] = 'Bearer'
  if (closeConnection) headers['Connection'] = 'close'
  response.writeHead(failure.code.httpStatus, headers)
  response.end(body)
}

/** Seconds with up to two decimals; the gateway's callers accept fractions in Retry-After. */
function formatSeconds (durationMs: number): string {
  return (Math.ceil(durationMs / 10) / 100).toString()
}
