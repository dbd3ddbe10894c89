import { toFailureBody, type Failure } from '@figloom/runtime'
import type { HeaderFields } from '../requests/types.js'

const MS_PER_SECOND = 1000

/** Headers and body of a failure as a whole answer. */
export function formatFailure (failure: Failure): { status: number, headers: HeaderFields, body: string } {
  const body = JSON.stringify(toFailureBody(failure))
  const headers: HeaderFields = { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)) }
  if (failure.retryAfterMs !== undefined) headers['retry-after'] = String(Math.ceil(failure.retryAfterMs / MS_PER_SECOND))
  return { status: failure.code.httpStatus, headers, body }
}

/** A failure as the last server-sent event of a stream that has begun. */
export function formatFailureEvent (failure: Failure): string {
  return `event: error\ndata: ${JSON.stringify(toFailureBody(failure))}\n\n`
}
