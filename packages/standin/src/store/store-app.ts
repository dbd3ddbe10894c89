import { createApp, createRouter, eventHandler, type App } from 'h3'
import { sendJson } from '../http/request-helpers.js'
import { createFaultsHandler } from '../http/faults-handler.js'
import type { WeightStore } from './weight-store.js'

/**
 * Creates the HTTP interface of the weight store: `POST /faults` changes its limits, `GET /stats` returns its statistics.
 * Engines in the same process call the store directly.
 */
export function createStoreApp (store: WeightStore): App {
  const router = createRouter()
  router.post('/faults', createFaultsHandler(store.config))
  router.get('/stats', eventHandler((event) => sendJson(event, 200, store.stats)))
  return createApp().use(router)
}
