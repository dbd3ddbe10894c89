import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'
import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { EndlessWriter } from '../testing/endless-writer.js'
import { createRoute, GatewayFixture, type RawAnswer } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'

const read = createRoute({ pathPrefix: '/read/', maxAttempts: 1 })
const book = createRoute({ pathPrefix: '/book/', kind: RouteKind.NonIdempotent, maxAttempts: 2 })
const stream = createRoute({ pathPrefix: '/stream/', kind: RouteKind.Stream, resumable: false })

/** Largest body of an answer in one piece. */
const MAX_BODY_BYTES = 8 * 1_048_576
/** Share of the bytes of the chunks here that belongs to the body. */
const BODY_SHARE = 1_024 / 1_031
/** What is read beside the body: a head, and what comes in before the connection is closed. */
const MAX_OTHER_BYTES = 262_144
/** Most bytes that the process reads of an answer. */
const MAX_READ_BYTES = MAX_BODY_BYTES / BODY_SHARE + MAX_OTHER_BYTES
/** On this channel Node.js publishes each connection that the process opens. */
const CONNECTIONS_CHANNEL = 'net.client.socket'
const MAX_MS = 1_500

/** The start of an answer, and the text that its runner then repeats without end. */
type EndlessAnswer = { prefix: (requestId: string) => string, filler: string }

const head = (status: string, ...headers: string[]) => (requestId: string) => [`HTTP/1.1 ${status}`, `Request-Id: ${requestId}`, ...headers, '', ''].join('\r\n')
const incompleteHead = (...headers: string[]) => (requestId: string) => ['HTTP/1.1 200 OK', `Request-Id: ${requestId}`, ...headers].join('\r\n')
const CHUNKED = 'Transfer-Encoding: chunked'
const EVENTS = 'Content-Type: text/event-stream'
const CHUNK = `400\r\n${'x'.repeat(1_024)}\r\n`

async function createFixture (t: Test, answer: (exchange: RawExchange) => void): Promise<GatewayFixture> {
  const fixture = await GatewayFixture.create([read, book, stream])
  t.teardown(() => fixture.close())
  await fixture.addRunner('runner-1', answer)
  return fixture
}

async function until (isTrue: () => boolean, maxMs: number): Promise<boolean> {
  const endMs = performance.now() + maxMs
  while (!isTrue() && performance.now() < endMs) await new Promise((resolve) => setTimeout(resolve, 10))
  return isTrue()
}

/** The connections that the process opens until the test ends. */
function collectConnections (t: Test): Socket[] {
  const sockets: Socket[] = []
  const collect = (message: unknown) => { sockets.push((message as { socket: Socket }).socket) }
  subscribe(CONNECTIONS_CHANNEL, collect)
  t.teardown(() => unsubscribe(CONNECTIONS_CHANNEL, collect))
  return sockets
}

/** Sends a request to a runner whose answer never ends, and checks that its connection is closed soon and after few bytes. */
async function callEndless (t: Test, path: string, { prefix, filler }: EndlessAnswer): Promise<RawAnswer> {
  const writers: EndlessWriter[] = []
  const readers: (Socket | undefined)[] = []
  const connections = collectConnections(t)
  const fixture = await createFixture(t, ({ requestId, socket }) => {
    readers.push(connections.find(({ localPort }) => localPort === socket.remotePort))
    writers.push(EndlessWriter.start(socket, prefix(requestId), filler))
  })
  const startMs = performance.now()
  const answer = await fixture.call({ path, method: path.startsWith('/book') ? 'POST' : 'GET' })
  t.ok(performance.now() - startMs < MAX_MS, 'the caller is answered at once')
  t.ok(await until(() => writers.every(({ closed }) => closed), MAX_MS), 'the connection is closed')
  for (const reader of readers) t.ok((reader?.bytesRead ?? Infinity) < MAX_READ_BYTES, `${reader?.bytesRead} bytes read`)
  return answer
}

t.test('a body that never ends fails the request', async (t) => {
  t.equal((await callEndless(t, '/read/1', { prefix: head('200 OK', 'Signed: s', CHUNKED), filler: CHUNK })).status, 502)
  t.equal((await callEndless(t, '/book/1', { prefix: head('200 OK', 'Signed: s', CHUNKED), filler: CHUNK })).status, 502)
  t.equal((await callEndless(t, '/read/1', { prefix: head('200 OK', 'Signed: s'), filler: 'x' })).status, 502)
})

t.test('a refusal whose body never ends stays a refusal', async (t) => {
  t.equal((await callEndless(t, '/book/1', { prefix: head('503 Full', 'Not-Run: 1', CHUNKED), filler: CHUNK })).status, 503)
  t.equal((await callEndless(t, '/book/1', { prefix: head('503 Full', 'Not-Run: 1'), filler: 'x' })).status, 503)
})

t.test('a refusal whose body never arrives does not keep its connection open for long', async (t) => {
  let closed = false
  const fixture = await createFixture(t, ({ requestId, socket }) => {
    socket.on('close', () => { closed = true })
    socket.write(head('503 Full', 'Not-Run: 1', 'Content-Length: 10')(requestId))
  })
  t.equal((await fixture.call({ path: '/book/1', method: 'POST' })).status, 503)
  t.ok(await until(() => closed, 2_500))
})

t.test('a head that never ends fails the request', async (t) => {
  t.equal((await callEndless(t, '/book/1', { prefix: incompleteHead('X: '), filler: 'x' })).status, 502)
  t.equal((await callEndless(t, '/book/1', { prefix: incompleteHead(''), filler: 'X: y\r\n' })).status, 502)
})

t.test('a reason phrase that never ends fails the request', async (t) => {
  t.equal((await callEndless(t, '/book/1', { prefix: () => 'HTTP/1.1 200 ', filler: 'x' })).status, 502)
})

t.test('interim answers without end fail the request', async (t) => {
  t.equal((await callEndless(t, '/book/1', { prefix: () => '', filler: 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' })).status, 502)
})

t.test('a chunk line that never ends fails the request', async (t) => {
  t.equal((await callEndless(t, '/book/1', { prefix: (id) => `${head('200 OK', 'Signed: s', CHUNKED)(id)}5;a=`, filler: 'x' })).status, 502)
})

t.test('trailers without end fail the request', async (t) => {
  t.equal((await callEndless(t, '/book/1', { prefix: (id) => `${head('200 OK', 'Signed: s', CHUNKED)(id)}2\r\nok\r\n0\r\n`, filler: 'X: y\r\n' })).status, 502)
})

t.test('bytes after the end of an answer close the connection', async (t) => {
  for (const filler of ['x', '\r\n', 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n']) {
    t.equal((await callEndless(t, '/read/1', { prefix: (id) => `${head('200 OK', 'Signed: s', 'Content-Length: 2')(id)}ok`, filler })).status, 200, JSON.stringify(filler))
  }
})

t.test('an event that never ends fails the stream', async (t) => {
  const prefix = head('200 OK', 'Signed: s', EVENTS, CHUNKED)
  t.equal((await callEndless(t, '/stream/1', { prefix, filler: CHUNK })).status, 502)
  const second = await callEndless(t, '/stream/1', { prefix: (id) => `${prefix(id)}11\r\nid: 1\ndata: one\n\n\r\n`, filler: CHUNK })
  t.match(second, { status: 200, body: /data: one/ })
  t.notMatch(second.body, /\r\n0\r\n/)
})

t.test('a large valid answer is passed on', async (t) => {
  const body = 'y'.repeat(4 * 1_048_576)
  const fixture = await createFixture(t, ({ requestId, socket }) => {
    socket.write(`${head('200 OK', 'Signed: s', `Content-Length: ${body.length}`)(requestId)}${body}`)
  })
  const answer = await fixture.call({ path: '/read/1' })
  t.equal(answer.status, 200)
  t.equal(answer.body.length, body.length)
})

t.test('a valid stream of many small chunks is passed on', async (t) => {
  const count = 20_000
  const fixture = await createFixture(t, ({ requestId, socket }) => {
    socket.write(head('200 OK', 'Signed: s', EVENTS, CHUNKED)(requestId))
    const chunks = Array.from({ length: count }, (_, index) => [`id: ${index + 1}\n`, 'data: x\n\n']).flat()
    socket.write(chunks.map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join(''))
    socket.write('0\r\n\r\n')
  })
  const answer = await fixture.call({ path: '/stream/1' })
  t.equal(answer.body.match(/data: x/g)?.length, count)
})

t.test('other requests on the host are not delayed', async (t) => {
  const fixture = await createFixture(t, ({ requestId, socket, text }) => {
    if (text.includes('/read/fast')) socket.write(`${head('200 OK', 'Signed: s', 'Content-Length: 2')(requestId)}ok`)
    else EndlessWriter.start(socket, head('503 Full', 'Not-Run: 1', CHUNKED)(requestId), CHUNK)
  })
  const floods = Array.from({ length: 5 }, (_, index) => fixture.call({ path: '/book/1', method: 'POST', id: `flood-${index}` }))
  const startMs = performance.now()
  t.equal((await fixture.call({ path: '/read/fast', id: 'fast' })).status, 200)
  t.ok(performance.now() - startMs < 500)
  await Promise.all(floods)
})
