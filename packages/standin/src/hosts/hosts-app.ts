import { createApp, createRouter, eventHandler, getRouterParam, type App, type H3Event } from 'h3'
import { listedHostSchema } from '@figloom/clients'
import { z } from 'zod'
import { readValidatedJson, resetConnection, sendJson } from '../http/request-helpers.js'
import { createFaultsHandler } from '../http/faults-handler.js'
import type { MemoryHostList } from './memory-host-list.js'

const fullEntrySchema = listedHostSchema.omit({ name: true })
const stateChangeSchema = z.strictObject({ state: listedHostSchema.shape.state })
const entrySchema = z.union([fullEntrySchema, stateChangeSchema])

/**
 * Creates the HTTP interface of the host list. `POST /hosts/NAME` takes a complete entry, or only `{ state }` for a host
 * that is already listed.
 */
export function createHostsApp (list: MemoryHostList): App {
  const router = createRouter()
  router.get('/hosts', eventHandler(async (event) => {
    const hosts = await list.list()
    if (hosts.isErr()) return resetConnection(event)
    sendJson(event, 200, hosts.value)
  }))
  router.post('/hosts/:name', eventHandler((event) => register(list, event)))
  router.delete('/hosts/:name', eventHandler((event) => {
    list.remove(readNameParam(event))
    sendJson(event, 200, {})
  }))
  router.post('/faults', createFaultsHandler(list.faults))
  return createApp().use(router)
}

async function register (list: MemoryHostList, event: H3Event): Promise<void> {
  const name = readNameParam(event)
  const entry = await readValidatedJson(event, entrySchema)
  if (entry === undefined) return
  if ('url' in entry) list.register({ name, ...entry })
  else if (!list.setState(name, entry.state)) return sendJson(event, 404, { error: 'no such host' })
  sendJson(event, 200, { name })
}

function readNameParam (event: H3Event): string {
  return getRouterParam(event, 'name', { decode: true }) ?? ''
}
