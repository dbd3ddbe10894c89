import { err, ok, type Result } from 'neverthrow'
import { createFailure, ResultCode, type Clock, type Context, type Failure } from '@figloom/runtime'
import { Priority } from '@figloom/tables'
import type { ListenerRequest, ListenerResponse } from '../listener/http-listener.js'
import type { CallerRequest, HeaderFields } from '../requests/types.js'

const DEADLINE_HEADER = 'figloom-deadline-ms'
const PRIORITY_HEADER = 'figloom-priority'

type RequestOptions = { deadlineMs: number | undefined, priority: Priority | undefined }

/** Builds the request that this host serves from a caller's HTTP request. */
export function toCallerRequest (
  request: ListenerRequest, response: ListenerResponse,
  parts: { id: string, clock: Clock, trace: Context, body: Buffer, receivedMs: number }
): Result<CallerRequest, Failure> {
  const headers = flattenHeaders(request.headers)
  return parseOptions(headers, parts.receivedMs).map((requestOptions) => ({
    id: parts.id,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers,
    body: parts.body,
    receivedMs: parts.receivedMs,
    signal: createDisconnectSignal(response),
    trace: parts.trace,
    hops: 0,
    ...requestOptions
  }))
}

/** Joins repeated header fields and omits HTTP/2 pseudo-header fields. */
export function flattenHeaders (headers: ListenerRequest['headers']): HeaderFields {
  const fields: HeaderFields = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || name.startsWith(':')) continue
    fields[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return fields
}

function parseOptions (headers: HeaderFields, receivedMs: number): Result<RequestOptions, Failure> {
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

/** Creates a signal that aborts if the connection closes before the answer has ended. */
function createDisconnectSignal (response: ListenerResponse): AbortSignal {
  const disconnect = new AbortController()
  response.once('close', () => { if (!response.writableEnded) disconnect.abort() })
  return disconnect.signal
}
