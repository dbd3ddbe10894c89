import { createApp, createRouter, eventHandler, readRawBody, type App, type H3Event } from 'h3'
import { headerOf, resetConnection, sendJson } from '../http/request-helpers.js'
import { createFaultsHandler } from '../http/faults-handler.js'
import type { ServiceCore } from './service-core.js'

/** A plain service over HTTP: any method and path runs a call, except `POST /faults` and `GET /stats`. */
export function createServiceApp (service: ServiceCore): App {
  const router = createRouter()
  router.post('/faults', createFaultsHandler(service.faults))
  router.get('/stats', eventHandler((event) => sendJson(event, 200, service.stats())))
  return createApp().use(router.handler).use(eventHandler((event) => call(service, event)))
}

async function call (service: ServiceCore, event: H3Event): Promise<void> {
  const text = hasBody(event) ? await readRawBody(event) : undefined
  const answer = await service.call(headerOf(event, 'idempotency-key'), parse(text))
  if (answer.kind === 'reset') return resetConnection(event)
  sendJson(event, answer.status, answer.body)
}

function hasBody (event: H3Event): boolean {
  return event.method !== 'GET' && event.method !== 'HEAD'
}

/** JSON where the text is JSON, else the text. */
function parse (text: string | undefined): unknown {
  if (text === undefined || text === '') return undefined
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
