import { createApp, createRouter, eventHandler, type App } from 'h3'
import { sendJson } from '../http/request-helpers.js'
import { createFaultsHandler } from '../http/faults-handler.js'
import type { WeightStore } from './weight-store.js'

/** The weight store's limits, settable by `POST /faults`, and its figures. Engines of the process use it directly. */
export function createStoreApp (store: WeightStore): App {
  const router = createRouter()
  router.post('/faults', createFaultsHandler(store.config))
  router.get('/stats', eventHandler((event) => sendJson(event, 200, store.stats)))
  return createApp().use(router)
}
