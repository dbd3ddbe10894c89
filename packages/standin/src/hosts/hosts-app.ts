import { createApp, createRouter, eventHandler, getRouterParam, type App, type H3Event } from 'h3'
import { listedHostSchema } from '@figloom/clients'
import { z } from 'zod'
import { readChecked, resetConnection, sendJson } from '../http/request-helpers.js'
import { createFaultsHandler } from '../http/faults-handler.js'
import type { MemoryHostList } from './memory-host-list.js'

const fullEntrySchema = listedHostSchema.omit({ name: true })
const changeSchema = z.strictObject({ state: listedHostSchema.shape.state })
const entrySchema = z.union([fullEntrySchema, changeSchema])

/** The host list over HTTP. `POST /hosts/NAME` takes a whole entry, or `{ state }` alone for a host that is listed. */
export function createHostsApp (list: MemoryHostList): App {
  const router = createRouter()
  router.get('/hosts', eventHandler(async (event) => {
    const hosts = await list.list()
    if (hosts.isErr()) return resetConnection(event)
    sendJson(event, 200, hosts.value)
  }))
  router.post('/hosts/:name', eventHandler((event) => register(list, event)))
  router.delete('/hosts/:name', eventHandler((event) => {
    list.remove(nameOf(event))
    sendJson(event, 200, {})
  }))
  router.post('/faults', createFaultsHandler(list.faults))
  return createApp().use(router)
}

async function register (list: MemoryHostList, event: H3Event): Promise<void> {
  const name = nameOf(event)
  const entry = await readChecked(event, entrySchema)
  if (entry === undefined) return
  if ('url' in entry) list.register({ name, ...entry })
  else if (!list.setState(name, entry.state)) return sendJson(event, 404, { error: 'no such host' })
  sendJson(event, 200, { name })
}

function nameOf (event: H3Event): string {
  return getRouterParam(event, 'name', { decode: true }) ?? ''
}
