import { createApp, createRouter, eventHandler, readRawBody, type App, type H3Event } from 'h3'
import { readHeader, resetConnection, sendJson } from '../http/request-helpers.js'
import { createFaultsHandler } from '../http/faults-handler.js'
import type { ServiceCore } from './service-core.js'

/** Creates the HTTP interface of a plain service. Any method and path runs a call, except `POST /faults` and `GET /stats`. */
export function createServiceApp (service: ServiceCore): App {
  const router = createRouter()
  router.post('/faults', createFaultsHandler(service.faults))
  router.get('/stats', eventHandler((event) => sendJson(event, 200, service.stats())))
  return createApp().use(router.handler).use(eventHandler((event) => call(service, event)))
}

async function call (service: ServiceCore, event: H3Event): Promise<void> {
  const text = hasBody(event) ? await readRawBody(event) : undefined
  const answer = await service.call(readHeader(event, 'idempotency-key'), parseBody(text))
  if (answer.kind === 'reset') return resetConnection(event)
  sendJson(event, answer.status, answer.body)
}

function hasBody (event: H3Event): boolean {
  return event.method !== 'GET' && event.method !== 'HEAD'
}

/** Parses a body as JSON; returns the text itself if it isn't JSON. */
function parseBody (text: string | undefined): unknown {
  if (text === undefined || text === '') return undefined
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
