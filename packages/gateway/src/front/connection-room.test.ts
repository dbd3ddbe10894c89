/** Guards against idle callers that take the descriptors which the process needs to serve the others. */
import { connect, Server, type Socket } from 'node:net'
import type { ServerResponse } from 'node:http'
import { SystemClock } from '@figloom/runtime'
import t, { type Test } from 'tap'
import { freeAddress } from '../testing/free-address.js'
import { shareOfCallers } from './connection-room.js'
import { HttpServer, RoomEvent, splitAddress, type UnexpectedClose } from './http-server.js'

const LIMITS = { headerTimeoutMs: 10_000, idleTimeoutMs: 10_000 }
const SHARE = { share: 10, most: 15 }
const REQUEST = 'GET / HTTP/1.1\r\nHost: test\r\n\r\n'

type Caller = { socket: Socket, text: () => string, closed: () => boolean }

async function waitFor (condition: () => boolean): Promise<boolean> {
  const endMs = performance.now() + 4_000
  while (!condition() && performance.now() < endMs) await new Promise((resolve) => setTimeout(resolve, 2))
  return condition()
}

/** A listener whose answers the test ends. */
async function createScene (t: Test) {
  const responses: ServerResponse[] = []
  const events: RoomEvent[] = []
  const closes: UnexpectedClose[] = []
  const server = HttpServer.create((_, response) => { responses.push(response) }, SystemClock.create(), {
    share: SHARE,
    onForRoom: (event) => events.push(event),
    onUnexpectedClose: (close) => closes.push(close)
  })
  t.teardown(() => server.destroy())
  server.setLimits(LIMITS)
  const address = await freeAddress()
  await server.listen(address)
  const { host, port } = splitAddress(address)
  /** Resolves when the listener has the connection, or has refused it. */
  const open = async (text = ''): Promise<Caller> => {
    const settled = server.connectionCount + events.length
    const socket = connect({ host, port })
    t.teardown(() => { socket.destroy() })
    let received = ''
    let isClosed = false
    socket.on('data', (chunk) => { received += chunk.toString() })
    socket.on('error', () => {})
    socket.on('close', () => { isClosed = true })
    if (text !== '') socket.write(text)
    await waitFor(() => server.connectionCount + events.length > settled)
    return { socket, text: () => received, closed: () => isClosed }
  }
  const openMany = async (count: number): Promise<Caller[]> => {
    const callers: Caller[] = []
    for (let index = 0; index < count; index += 1) callers.push(await open())
    return callers
  }
  /** Sends a request and waits until it is in progress. */
  const begin = async (caller?: Caller): Promise<Caller> => {
    const before = responses.length
    const busy = caller ?? await open(REQUEST)
    if (caller !== undefined) caller.socket.write(REQUEST)
    t.ok(await waitFor(() => responses.length > before))
    return busy
  }
  return { server, responses, events, closes, open, openMany, begin }
}

t.test('beyond the share of callers, the longest idle connections are closed in order', async (t) => {
  const { server, events, closes, openMany } = await createScene(t)
  const callers = await openMany(25)
  t.ok(await waitFor(() => callers.filter(({ closed }) => closed()).length === 15))
  t.same(callers.map(({ closed }) => closed()), callers.map((_, index) => index < 15))
  t.equal(server.connectionCount, SHARE.share)
  t.same(events, Array(15).fill(RoomEvent.IdleClosed))
  t.same(closes, [])
})

t.test('a connection is idle since its last answer ended', async (t) => {
  const { responses, begin, openMany } = await createScene(t)
  const answered = await begin()
  const silent = await openMany(9)
  responses[0]?.end('ended')
  t.ok(await waitFor(() => answered.text().includes('ended')))
  const newer = await openMany(9)
  t.ok(await waitFor(() => silent.every(({ closed }) => closed())))
  t.notOk(answered.closed())
  await openMany(1)
  t.ok(await waitFor(() => answered.closed()))
  t.notOk(newer.some(({ closed }) => closed()))
})

t.test('connections with a request in progress, or with a part of its head, are not closed', async (t) => {
  const { responses, begin, open, openMany } = await createScene(t)
  const busy = await begin()
  const partial = await open('GET / HTTP/1.1\r\nHo')
  const silent = await openMany(20)
  t.ok(await waitFor(() => silent.filter(({ closed }) => closed()).length === 12))
  partial.socket.write('st: test\r\n\r\n')
  t.ok(await waitFor(() => responses.length === 2))
  for (const response of responses) response.end('ended')
  t.ok(await waitFor(() => busy.text().includes('ended') && partial.text().includes('ended')))
})

t.test('a request that arrives while its connection is being closed is served', async (t) => {
  const { responses, open, openMany } = await createScene(t)
  const callers = await openMany(SHARE.share)
  const [first] = callers
  first?.socket.write(REQUEST)
  const newer = open()
  t.ok(await waitFor(() => responses.length === 1 || first?.closed() === true))
  await newer
  responses[0]?.end('ended')
  t.ok(await waitFor(() => first?.text().includes('ended') === true))
})

t.test('new connections are refused where too many have a request in progress, and accepted afterwards', async (t) => {
  const { responses, events, begin, open } = await createScene(t)
  const busy: Caller[] = []
  for (let index = 0; index < SHARE.most; index += 1) busy.push(await begin())
  const refused = await open(REQUEST)
  t.ok(await waitFor(() => refused.closed()))
  t.same(events, [RoomEvent.Refused])
  t.equal(refused.text(), '')
  t.notOk(busy.some(({ closed }) => closed()))
  busy[0]?.socket.destroy()
  t.ok(await waitFor(() => responses[0]?.destroyed === true))
  await begin()
})

t.test('a connection that cannot be accepted does not end the process, and idle ones make room', async (t) => {
  const listen = t.capture(Server.prototype, 'listen', Server.prototype.listen)
  const { server, events, openMany, begin } = await createScene(t)
  // The one before looked for a free address.
  const call = listen().at(-1)
  const callers = await openMany(5)
  const busy = await begin()
  const error = Object.assign(new Error('accept EMFILE'), { code: 'EMFILE' })
  t.doesNotThrow(() => (call?.receiver as unknown as Server).emit('error', error))
  t.ok(await waitFor(() => callers.every(({ closed }) => closed())))
  t.same(events, [RoomEvent.NotAccepted, ...Array(5).fill(RoomEvent.IdleClosed)])
  t.notOk(busy.closed())
  t.equal(server.connectionCount, 1)
})

t.test('callers have half of the connections that the process can have, and a few in any case', async (t) => {
  t.same(shareOfCallers(4_100), { share: 1_800, most: 2_700 })
  t.same(shareOfCallers(100), { share: 16, most: 16 })
})
