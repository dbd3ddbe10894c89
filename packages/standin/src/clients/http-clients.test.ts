import t from 'tap'
import { createApp, eventHandler } from 'h3'
import { request } from 'undici'
import { SystemClock } from '@figloom/runtime'
import { HttpEngineClient, HttpHostListClient, type EngineOrder } from '@figloom/clients'
import { sendJson } from '../http/request-helpers.js'
import { listen } from '../http/server.js'
import { startStandins } from '../start.js'

const clock = SystemClock.create()
const order: EngineOrder = { orderId: 'o1', fence: 5, action: 'load', model: 'mesa-8b', version: '1', weightsMiB: 10, kvReserveMiB: 5 }

async function post (url: string, body: unknown, headers: Record<string, string> = {}) {
  const answer = await request(url, { method: 'POST', body: JSON.stringify(body), headers: { 'content-type': 'application/json', ...headers } })
  return { status: answer.statusCode, body: await answer.body.json() as Record<string, unknown> }
}

t.test('host list over HTTP', async (t) => {
  const running = await startStandins({ standin: [{ kind: 'hosts', name: 'hosts' }] }, clock)
  const url = running.urlOf('hosts')
  const entry = { url: 'http://127.0.0.1:1', innerUrl: 'http://127.0.0.1:2', availabilityZone: 'porto-a', state: 'live' }
  const client = HttpHostListClient.create({ url, clock })
  t.equal((await post(`${url}/hosts/a`, entry)).status, 200)
  t.equal((await post(`${url}/hosts/a`, { state: 'leaving' })).status, 200)
  t.equal((await post(`${url}/hosts/b`, { state: 'leaving' })).status, 404)
  t.equal((await post(`${url}/hosts/b`, { state: 'gone' })).status, 400)
  t.same((await client.list())._unsafeUnwrap(), [{ name: 'a', ...entry, state: 'leaving' }])
  await post(`${url}/faults`, { down: true })
  t.equal((await client.list())._unsafeUnwrapErr().ran, 'unknown')
  await client.close()
  await running.close()
})

t.test('engine orders, report, cache events and cancel over HTTP', async (t) => {
  const running = await startStandins({ standin: [{ kind: 'engine', name: 'r1', loadMs: 0 }] }, clock)
  const url = running.urlOf('r1')
  const client = HttpEngineClient.create({ clock })
  t.match((await client.order(url, order))._unsafeUnwrap(), { orderId: 'o1', outcome: 'accepted', instance: 'instance-1' })
  t.match((await client.order(url, { ...order, fence: 4 }))._unsafeUnwrap(), { outcome: 'stale-fence' })
  t.match((await client.report(url))._unsafeUnwrap(), { runner: 'r1', usedMiB: 15, highestFence: 5, copies: [{ model: 'mesa-8b' }] })
  t.same((await client.cacheEvents(url, 1))._unsafeUnwrap(), { events: [], nextSequence: 1 })
  t.same((await client.cancel(url, 'never'))._unsafeUnwrap(), { outcome: 'not-started' })
  await post(`${url}/faults`, { loseOrders: 1 })
  t.equal((await client.order(url, order))._unsafeUnwrapErr().ran, 'unknown')
  t.equal((await post(`${url}/faults`, { loseOrder: 1 })).status, 400, 'unknown fault')
  await running.close()
  t.equal((await client.report(url))._unsafeUnwrapErr().ran, 'no')
  await client.close()
})

t.test('an answer that names another order is discarded; the outcome is unknown', async (t) => {
  const outcome = { orderId: 'other', outcome: 'done', instance: 'instance-1' }
  const app = createApp().use(eventHandler((event) => sendJson(event, 200, outcome)))
  const { url, close } = await listen(app, '127.0.0.1', 0)
  const client = HttpEngineClient.create({ clock })
  t.equal((await client.order(url, order))._unsafeUnwrapErr().ran, 'unknown')
  t.ok((await client.order(url, { ...order, orderId: 'other' })).isOk())
  await client.close()
  await close()
})

t.test('plain service counts runs per idempotency key', async (t) => {
  const running = await startStandins({ standin: [{ kind: 'service', name: 'booking' }] }, clock)
  const url = running.urlOf('booking')
  const book = () => post(`${url}/slots/3?day=1`, { buyer: 7 }, { 'idempotency-key': 'k1' })
  t.same(await book(), { status: 200, body: { service: 'booking', key: 'k1', runs: 1, body: { buyer: 7 } } })
  await post(`${url}/faults`, { resetAfterRun: 1 })
  await t.rejects(book())
  t.match(await (await request(`${url}/stats`)).body.json(), { total: 2, ranTwice: 1, runs: { k1: 2 } })
  await running.close()
})

t.test('the limits of the weight store are changed over HTTP', async (t) => {
  const running = await startStandins({ store: { startsPerSecond: 2 }, standin: [{ kind: 'store', name: 'store' }] }, clock)
  const url = running.urlOf('store')
  t.equal((await post(`${url}/faults`, { delayMs: 5_000 })).status, 200)
  t.match(running.store.config, { startsPerSecond: 2, delayMs: 5_000 })
  t.match(await (await request(`${url}/stats`)).body.json(), { loads: 0, peakLoads: 0 })
  await running.close()
})

t.test('startStandins rejects if a port is in use and leaves no listener open', async (t) => {
  const first = await startStandins({ standin: [{ kind: 'service', name: 'a' }] }, clock)
  const port = Number(new URL(first.urlOf('a')).port)
  await t.rejects(startStandins({ standin: [{ kind: 'service', name: 'b' }, { kind: 'service', name: 'c', port }] }, clock))
  await first.close()
})
