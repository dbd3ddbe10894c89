// Guards against requests that are lost because their connection is closed sooner than its last answer stated.
import { connect, type Socket } from 'node:net'
import type { ServerResponse } from 'node:http'
import { SystemClock } from '@figloom/runtime'
import t from 'tap'
import { freeAddress } from '../testing/free-address.js'
import { HttpServer, splitAddress, type HttpServerLimits, type UnexpectedClose } from './http-server.js'

const LIMITS: HttpServerLimits = { headerTimeoutMs: 3_000, idleTimeoutMs: 3_000 }
const SHORT_LIMITS: HttpServerLimits = { headerTimeoutMs: 3_000, idleTimeoutMs: 100 }
const REQUEST = 'GET / HTTP/1.1\r\nHost: test\r\n\r\n'

type Caller = { socket: Socket, received: () => string, closed: () => boolean }

function sleep (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

async function openCaller (address: string): Promise<Caller> {
  const { host, port } = splitAddress(address)
  const socket = connect({ host, port })
  let text = ''
  let closed = false
  socket.on('data', (chunk) => { text += chunk.toString() })
  socket.on('error', () => {})
  socket.on('close', () => { closed = true })
  await new Promise<void>((resolve) => socket.once('connect', resolve))
  return { socket, received: () => text, closed: () => closed }
}

async function waitFor (condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(5)
}

/** Blocks the event loop, as a process does that is suspended or has too little processor time. */
function block (ms: number): void {
  const endMs = performance.now() + ms
  while (performance.now() < endMs);
}

type Listener = { server: HttpServer, address: string, responses: ServerResponse[], closes: UnexpectedClose[] }

/** A listener whose answers the test ends. */
async function openListener (limits: HttpServerLimits): Promise<Listener> {
  const responses: ServerResponse[] = []
  const closes: UnexpectedClose[] = []
  const server = HttpServer.create((request, response) => {
    responses.push(response)
    response.writeHead(200, { 'Content-Type': 'text/plain' })
    response.write('begun ')
  }, SystemClock.create(), { onUnexpectedClose: (close) => closes.push(close) })
  server.setLimits(limits)
  const address = await freeAddress()
  await server.listen(address)
  return { server, address, responses, closes }
}

t.test('a connection stays open for as long as its answer stated when the limit falls before the answer ends', async (t) => {
  const { server, address, responses } = await openListener(LIMITS)
  t.teardown(() => server.destroy())
  const caller = await openCaller(address)
  caller.socket.write(REQUEST)
  await waitFor(() => caller.received().includes('begun'))
  const statedS = Number(/timeout=(\d+)/.exec(caller.received())?.[1])
  server.setLimits(SHORT_LIMITS)
  responses[0]?.end('ended')
  await waitFor(() => caller.received().includes('ended'))
  await sleep(statedS * 1_000 - 100)
  t.equal(caller.closed(), false)
  caller.socket.write(REQUEST)
  await waitFor(() => responses.length === 2 || caller.closed())
  t.equal(responses.length, 2)
})

t.test('an answer states no longer time than the limit, and the connection outlives it by a margin', async (t) => {
  const { server, address, responses } = await openListener(LIMITS)
  t.teardown(() => server.destroy())
  const caller = await openCaller(address)
  caller.socket.write(REQUEST)
  await waitFor(() => responses.length === 1)
  responses[0]?.end('ended')
  await waitFor(() => caller.received().includes('ended'))
  t.match(caller.received(), /Keep-Alive: timeout=3\r/)
  await sleep(3_300)
  t.equal(caller.closed(), false)
  await sleep(1_700)
  t.equal(caller.closed(), true)
})

t.test('a request that waits in its socket when the idle time ends is served', async (t) => {
  const { server, address, responses } = await openListener(SHORT_LIMITS)
  t.teardown(() => server.destroy())
  const caller = await openCaller(address)
  caller.socket.write(REQUEST)
  await waitFor(() => responses.length === 1)
  responses[0]?.end('ended')
  await waitFor(() => caller.received().includes('ended'))
  await sleep(50)
  // After this phase of the event loop the timers fire next, before the socket is read.
  setImmediate(() => {
    caller.socket.write(REQUEST)
    block(1_500)
  })
  await waitFor(() => responses.length === 2 || caller.closed())
  t.equal(responses.length, 2)
})

t.test('an answer in progress is not cut by the idle limit', async (t) => {
  const { server, address, responses } = await openListener(SHORT_LIMITS)
  t.teardown(() => server.destroy())
  const caller = await openCaller(address)
  caller.socket.write(REQUEST + REQUEST)
  await waitFor(() => responses.length === 2)
  responses[0]?.end('first')
  await sleep(1_600)
  responses[1]?.end('second')
  await waitFor(() => caller.received().includes('second') || caller.closed())
  t.match(caller.received(), /second/)
})

t.test('connections that are closed as stated, or by their caller, are not reported; one that is closed with an answer unfinished is', async (t) => {
  const { server, address, responses, closes } = await openListener(SHORT_LIMITS)
  t.teardown(() => server.destroy())
  const [stated, leaving, cut] = [await openCaller(address), await openCaller(address), await openCaller(address)]
  for (const caller of [stated, leaving, cut]) caller.socket.write(REQUEST)
  await waitFor(() => responses.length === 3)
  responses[0]?.end('ended')
  leaving.socket.destroy()
  responses[2]?.destroy()
  await waitFor(() => stated.closed() && cut.closed())
  await sleep(50)
  t.match(closes, [{ openRequests: 1 }])
  t.equal(closes.length, 1)
})

t.test('a higher idle limit also applies to a connection that is idle', async (t) => {
  const { server, address, responses } = await openListener(SHORT_LIMITS)
  t.teardown(() => server.destroy())
  const caller = await openCaller(address)
  caller.socket.write(REQUEST)
  await waitFor(() => responses.length === 1)
  responses[0]?.end('ended')
  await waitFor(() => caller.received().includes('ended'))
  server.setLimits(LIMITS)
  await sleep(2_400)
  t.equal(caller.closed(), false)
})
