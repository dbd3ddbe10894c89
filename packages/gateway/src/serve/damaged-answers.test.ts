import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'

const read = createRoute({ pathPrefix: '/read/' })
const book = createRoute({ pathPrefix: '/book/', kind: RouteKind.NonIdempotent, maxAttempts: 2 })

async function createFixture (t: Test): Promise<GatewayFixture> {
  const fixture = await GatewayFixture.create([read, book])
  t.teardown(() => fixture.close())
  return fixture
}

function good ({ requestId, socket }: RawExchange): void {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: 1\r\nContent-Length: 4\r\n\r\ngood`)
}

t.test('an answer without a length is incomplete when its connection is reset', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', ({ requestId, socket }) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: 1\r\n\r\nhalf`)
    setTimeout(() => socket.resetAndDestroy(), 30)
  })
  const answer = await fixture.call({ path: '/book/1', method: 'POST' })
  t.equal(answer.status, 502)
})

t.test('an answer without a length is complete when its connection closes normally', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', ({ requestId, socket }) => {
    socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: 1\r\n\r\nwhole`)
  })
  const answer = await fixture.call({ path: '/read/1' })
  t.match(answer, { status: 200, body: 'whole' })
})

t.test('an answer without a length reaches its caller with the length that it had when its runner ended it', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', ({ requestId, socket }) => {
    socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: 1\r\n\r\nwhole`)
  })
  const answer = await fixture.call({ path: '/read/1' })
  t.equal(answer.body, 'whole')
  t.match(answer.headers, /^Content-Length: 5\r?$/im)
  t.notMatch(answer.headers, /Transfer-Encoding/i)
})

t.test('a body shorter than its length is not complete', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', ({ requestId, socket }) => {
    socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: 1\r\nContent-Length: 50\r\n\r\nhalf`)
  })
  const answer = await fixture.call({ path: '/book/1', method: 'POST' })
  t.equal(answer.status, 502)
})

t.test('an answer to another request is never passed on', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', (exchange) => {
    good(exchange)
    // A second, late answer arrives on the connection where the answer to the next request is expected.
    if (exchange.number === 1) setTimeout(() => exchange.socket.write('HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nextra'), 40)
  })
  t.equal((await fixture.call({ path: '/book/1', method: 'POST' })).body, 'good')
  const second = await fixture.call({ path: '/book/2', method: 'POST', id: 'request-2' })
  t.not(second.body, 'extra')
})

t.test('a successful answer without a signature is treated as a failure', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', ({ requestId, socket }) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nContent-Length: 4\r\n\r\nfake`)
  })
  t.equal((await fixture.call({ path: '/book/1', method: 'POST' })).status, 502)
})

t.test('an encoded body is treated as a failure', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', ({ requestId, socket }) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: 1\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nzzzz`)
  })
  t.equal((await fixture.call({ path: '/book/1', method: 'POST' })).status, 502)
})

t.test('a request that must not run twice is not retried after a reset', async (t) => {
  const fixture = await createFixture(t)
  const runners = await Promise.all(['runner-1', 'runner-2'].map((id) => fixture.addRunner(id, ({ socket }) => { socket.resetAndDestroy() })))
  const answer = await fixture.call({ path: '/book/1', method: 'POST' })
  t.equal(answer.status, 502)
  t.equal(runners.reduce((sum, { requests }) => sum + requests.length, 0), 1)
})

t.test('a request that may run twice is retried after a reset', async (t) => {
  const fixture = await createFixture(t)
  let first = true
  const answerOnce = (exchange: RawExchange) => {
    if (!first) return good(exchange)
    first = false
    exchange.socket.resetAndDestroy()
  }
  await fixture.addRunner('runner-1', answerOnce)
  await fixture.addRunner('runner-2', answerOnce)
  t.match(await fixture.call({ path: '/read/1' }), { status: 200, body: 'good' })
})

t.test('a refusal that the runner states as not run is passed on as not run', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', ({ requestId, socket }) => {
    socket.write(`HTTP/1.1 503 Full\r\nRequest-Id: ${requestId}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`)
  })
  const answer = await fixture.call({ path: '/book/1', method: 'POST' })
  t.equal(answer.status, 503)
  t.match(answer.headers, /Retry-After/)
})

t.test('a refusal that the runner does not state as not run may have run', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', ({ requestId, socket }) => {
    socket.write(`HTTP/1.1 503 Full\r\nRequest-Id: ${requestId}\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n`)
  })
  const answer = await fixture.call({ path: '/book/1', method: 'POST' })
  t.equal(answer.status, 502)
  t.notMatch(answer.headers, /Signed/)
})

t.test('a runner that accepts no connection has not run the request', async (t) => {
  const fixture = await createFixture(t)
  const runner = await fixture.addRunner('runner-1', good)
  await runner.close()
  const answer = await fixture.call({ path: '/book/1', method: 'POST' })
  t.equal(answer.status, 503)
})
