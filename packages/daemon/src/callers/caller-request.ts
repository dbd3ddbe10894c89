import { err, ok, type Result } from 'neverthrow'
import { createFailure, ResultCode, type Clock, type Context, type Failure } from '@figloom/runtime'
import { Priority } from '@figloom/tables'
import type { ListenerRequest, ListenerResponse } from '../listener/http-listener.js'
import type { CallerRequest, HeaderFields } from '../requests/types.js'

const DEADLINE_HEADER = 'figloom-deadline-ms'
const PRIORITY_HEADER = 'figloom-priority'

type RequestLimits = { deadlineMs: number | undefined, priority: Priority | undefined }

/** Builds the request that this host serves from a caller's HTTP request. */
export function toCallerRequest (
  request: ListenerRequest, response: ListenerResponse,
  parts: { id: string, clock: Clock, trace: Context, body: Buffer, receivedMs: number }
): Result<CallerRequest, Failure> {
  const headers = flattenHeaders(request.headers)
  return parseLimits(headers, parts.receivedMs).map((limits) => ({
    id: parts.id,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers,
    body: parts.body,
    receivedMs: parts.receivedMs,
    signal: createGoneSignal(response),
    trace: parts.trace,
    hops: 0,
    ...limits
  }))
}

/** Joins repeated fields and leaves out the pseudo-fields of HTTP/2. */
export function flattenHeaders (headers: ListenerRequest['headers']): HeaderFields {
  const fields: HeaderFields = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || name.startsWith(':')) continue
    fields[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return fields
}

function parseLimits (headers: HeaderFields, receivedMs: number): Result<RequestLimits, Failure> {
  const deadline = headers[DEADLINE_HEADER]
  const priority = headers[PRIORITY_HEADER]
  if (deadline !== undefined && !/^\d{1,9}$/.test(deadline)) {
    return err(createFailure(ResultCode.MalformedRequest, 'Figloom-Deadline-Ms must be a whole number of milliseconds'))
  }
  if (priority !== undefined && priority !== Priority.Interactive && priority !== Priority.Batch) {
    return err(createFailure(ResultCode.MalformedRequest, 'Figloom-Priority must be interactive or batch'))
  }
  return ok({ deadlineMs: deadline === undefined ? undefined : receivedMs + Number(deadline), priority })
}

/** Aborts when the connection closes before the answer was handed over whole. */
function createGoneSignal (response: ListenerResponse): AbortSignal {
  const gone = new AbortController()
  response.once('close', () => { if (!response.writableEnded) gone.abort() })
  return gone.signal
}
