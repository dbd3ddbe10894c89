import { createApp, createRouter, eventHandler, getQuery, getRouterParam, setResponseHeader, type App, type H3Event } from 'h3'
import { ResultCode, type Failure } from '@figloom/runtime'
import { z } from 'zod'
import { readValidatedJson, resetConnection, sendJson } from '../http/request-helpers.js'
import { createFaultsHandler } from '../http/faults-handler.js'
import type { MemoryLog } from './memory-log.js'

const MS_PER_SECOND = 1_000
const appendSchema = z.object({ recordId: z.string().min(1), body: z.unknown() })
const readSchema = z.object({
  from: z.coerce.number().int(),
  waitMs: z.coerce.number().nonnegative().optional(),
  limit: z.coerce.number().int().positive().optional()
})

/** Creates the HTTP interface of a simulated log service. Where the log gives no answer, the connection is reset. */
export function createLogApp (log: MemoryLog): App {
  const router = createRouter()
  router.post('/streams/:stream/records', eventHandler((event) => append(log, event)))
  router.get('/streams/:stream/records', eventHandler((event) => read(log, event)))
  router.post('/faults', createFaultsHandler(log.faults))
  router.get('/stats', eventHandler((event) => sendJson(event, 200, { appendCount: log.appendCount, appendedBytes: log.appendedBytes })))
  return createApp().use(router)
}

async function append (log: MemoryLog, event: H3Event): Promise<void> {
  const request = await readValidatedJson(event, appendSchema)
  if (request === undefined) return
  const result = await log.append(readStreamParam(event), request.recordId, request.body)
  if (result.isErr()) return sendFailure(event, result.error)
  sendJson(event, 200, result.value)
}

async function read (log: MemoryLog, event: H3Event): Promise<void> {
  const query = readSchema.safeParse(getQuery(event))
  if (!query.success) return sendJson(event, 400, { error: 'malformed' })
  const { from, waitMs, limit } = query.data
  const caller = new AbortController()
  event.node.res.once('close', () => caller.abort())
  const result = await log.read(readStreamParam(event), {
    from, signal: caller.signal, ...(waitMs === undefined ? {} : { waitMs }), ...(limit === undefined ? {} : { limit })
  })
  if (result.isErr()) return sendFailure(event, result.error)
  sendJson(event, 200, result.value)
}

function sendFailure (event: H3Event, failure: Failure): void {
  if (failure.code.code === ResultCode.LogUnavailable.code) return resetConnection(event)
  if (failure.code.code !== ResultCode.LogRejected.code) return sendJson(event, failure.code.httpStatus, { error: failure.code.type })
  if (failure.retryAfterMs !== undefined) setResponseHeader(event, 'retry-after', Math.ceil(failure.retryAfterMs / MS_PER_SECOND))
  sendJson(event, failure.code.httpStatus, { error: 'refused', retryAfterMs: failure.retryAfterMs })
}

function readStreamParam (event: H3Event): string {
  return getRouterParam(event, 'stream', { decode: true }) ?? ''
}
