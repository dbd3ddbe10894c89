import { connect, type Socket } from 'node:net'
import t, { type Test } from 'tap'
import { EndlessWriter } from '../testing/endless-writer.js'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'

const MAX_READ_BYTES = 4 * 1_048_576
const CHUNK = `400\r\n${'x'.repeat(1_024)}\r\n`

async function createFixture (t: Test): Promise<GatewayFixture> {
  const fixture = await GatewayFixture.create([createRoute({ pathPrefix: '/read/', timeoutMs: 700 })])
  t.teardown(() => fixture.close())
  await fixture.addRunner('runner-1', ({ requestId, socket }) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`)
  })
  return fixture
}

/** Sends a request whose body never ends, and returns what was received until the connection closed. */
async function sendEndless (t: Test, path: string, filler: string): Promise<string> {
  const fixture = await createFixture(t)
  const socket = connect(fixture.port, '127.0.0.1')
  const reply = readAll(socket)
  const writer = EndlessWriter.start(socket, `POST ${path} HTTP/1.1\r\nHost: test\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n`, filler)
  const text = await Promise.race([reply, new Promise<string>((resolve) => setTimeout(() => resolve('open'), 4_000))])
  t.not(text, 'open', 'the connection is closed')
  t.ok(writer.bytes < MAX_READ_BYTES, `${writer.bytes} bytes read`)
  socket.destroy()
  return text
}

function readAll (socket: Socket): Promise<string> {
  let text = ''
  socket.on('data', (chunk) => { text += chunk.toString('latin1') })
  socket.on('error', () => {})
  return new Promise((resolve) => socket.on('close', () => resolve(text)))
}

t.test('a body that never ends is refused as too large', async (t) => {
  t.match(await sendEndless(t, '/read/1', CHUNK), /^HTTP\/1.1 413/)
})

t.test('a body that never ends on a path without a route is refused', async (t) => {
  t.match(await sendEndless(t, '/nowhere/1', CHUNK), /^HTTP\/1.1 404/)
})

t.test('a chunk line that never ends closes the connection', async (t) => {
  await sendEndless(t, '/read/1', `5;${'x'.repeat(1_000)}`)
})

t.test('a body that arrives too slowly is refused at the timeout of its route', async (t) => {
  const fixture = await createFixture(t)
  const socket = connect(fixture.port, '127.0.0.1')
  const reply = readAll(socket)
  socket.write('POST /read/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: 1\r\nContent-Length: 1000\r\n\r\nx')
  const slowWrites = setInterval(() => socket.write('x'), 100)
  const startMs = performance.now()
  const text = await reply
  clearInterval(slowWrites)
  t.match(text, /^HTTP\/1.1 408/)
  t.ok(performance.now() - startMs < 4_000)
})

t.test('a body that arrives slowly but in time is accepted', async (t) => {
  const fixture = await createFixture(t)
  const socket = connect(fixture.port, '127.0.0.1')
  const reply = readAll(socket)
  socket.write('POST /read/1 HTTP/1.1\r\nHost: test\r\nConnection: close\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\nx')
  setTimeout(() => socket.write('xxx'), 300)
  t.match(await reply, /^HTTP\/1.1 200/)
})
