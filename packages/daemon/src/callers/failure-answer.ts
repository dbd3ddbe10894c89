import { toFailureBody, type Failure } from '@figloom/runtime'
import type { HeaderFields } from '../requests/types.js'

const MS_PER_SECOND = 1000

/** Formats a failure as a complete answer. */
export function formatFailure (failure: Failure): { status: number, headers: HeaderFields, body: string } {
  const body = JSON.stringify(toFailureBody(failure))
  const headers: HeaderFields = { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)) }
  if (failure.retryAfterMs !== undefined) headers['retry-after'] = String(Math.ceil(failure.retryAfterMs / MS_PER_SECOND))
  return { status: failure.code.httpStatus, headers, body }
}

/** Formats a failure as the last server-sent event of a stream that has started. */
export function formatFailureEvent (failure: Failure): string {
  return `event: error\ndata: ${JSON.stringify(toFailureBody(failure))}\n\n`
}
