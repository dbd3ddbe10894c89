import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'

const resumable = createRoute({ pathPrefix: '/resume/', kind: RouteKind.Stream, resumable: true })
const once = createRoute({ pathPrefix: '/once/', kind: RouteKind.Stream, maxAttempts: 1 })
const brief = createRoute({ pathPrefix: '/brief/', kind: RouteKind.Stream, timeoutMs: 300 })

async function createFixture (t: Test): Promise<GatewayFixture> {
  const fixture = await GatewayFixture.create([resumable, once, brief])
  t.teardown(() => fixture.close())
  return fixture
}

function writeHead ({ requestId, socket }: RawExchange, signature = 'first'): void {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: ${signature}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`)
}

function writeChunk ({ socket }: RawExchange, text: string): void {
  socket.write(`${text.length.toString(16)}\r\n${text}\r\n`)
}

function writeEvents (exchange: RawExchange, from: number, to: number): void {
  for (let id = from; id <= to; id += 1) writeChunk(exchange, `id: ${id}\ndata: x\n\n`)
}

function idsOf (text: string): number[] {
  return [...text.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]))
}

/** Sends events 0 to 4. The first attempt is reset in the middle of event 2; the next one resumes after Last-Event-ID. */
function breakOnce (): (exchange: RawExchange) => void {
  let first = true
  return (exchange) => {
    if (first) {
      first = false
      writeHead(exchange)
      writeEvents(exchange, 0, 1)
      writeChunk(exchange, 'id: 2\nda')
      setTimeout(() => exchange.socket.resetAndDestroy(), 30)
      return
    }
    const last = Number(/last-event-id: (\d+)/i.exec(exchange.text)?.[1] ?? -1)
    writeHead(exchange, 'second')
    writeEvents(exchange, last + 1, 4)
    exchange.socket.write('0\r\n\r\n')
  }
}

t.test('an interrupted stream resumes after its last complete event', async (t) => {
  const fixture = await createFixture(t)
  const answer = breakOnce()
  await fixture.addRunner('runner-1', answer)
  await fixture.addRunner('runner-2', answer)
  const { text, status } = await fixture.call({ method: 'POST', path: '/resume/1' })
  t.equal(status, 200)
  t.same(idsOf(text), [0, 1, 2, 3, 4])
  t.match(text, /Signed: first/)
  t.notMatch(text, /Signed: second/)
})

t.test('an interrupted stream that can not be resumed never looks complete', async (t) => {
  const fixture = await createFixture(t)
  const answer = breakOnce()
  await fixture.addRunner('runner-1', answer)
  const runner = await fixture.addRunner('runner-2', answer)
  const { text } = await fixture.call({ method: 'POST', path: '/once/1' })
  t.same(idsOf(text), [0, 1])
  t.notMatch(text, /\r\n0\r\n\r\n$/)
  t.ok(runner.requests.length <= 1)
})

t.test('a resumed stream with a gap is aborted', async (t) => {
  const fixture = await createFixture(t)
  let first = true
  const answer = (exchange: RawExchange) => {
    writeHead(exchange)
    if (!first) return writeEvents(exchange, 3, 4)
    first = false
    writeEvents(exchange, 0, 1)
    setTimeout(() => exchange.socket.resetAndDestroy(), 30)
  }
  await fixture.addRunner('runner-1', answer)
  await fixture.addRunner('runner-2', answer)
  const { text } = await fixture.call({ method: 'POST', path: '/resume/1' })
  t.same(idsOf(text), [0, 1])
  t.notMatch(text, /\r\n0\r\n\r\n$/)
})

t.test('a stream that ends within an event is not passed on as complete', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', (exchange) => {
    writeHead(exchange)
    writeEvents(exchange, 0, 1)
    writeChunk(exchange, 'id: 2\nda')
    exchange.socket.write('0\r\n\r\n')
  })
  const { text } = await fixture.call({ method: 'POST', path: '/once/1' })
  t.same(idsOf(text), [0, 1])
  t.notMatch(text, /\r\n0\r\n\r\n$/)
})

t.test('a stream is aborted at the timeout of its route', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', (exchange) => {
    writeHead(exchange)
    writeEvents(exchange, 0, 1)
  })
  const { text } = await fixture.call({ method: 'POST', path: '/brief/1' })
  t.same(idsOf(text), [0, 1])
  t.notMatch(text, /\r\n0\r\n\r\n$/)
})

t.test('a request without an answer fails at the timeout of its route', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', () => {})
  const { status } = await fixture.call({ method: 'POST', path: '/brief/1' })
  t.equal(status, 504)
})

t.test('a caller that disconnects ends the request at its runner', async (t) => {
  const fixture = await createFixture(t)
  let runnerClosed: () => void = () => {}
  const closed = new Promise<void>((resolve) => { runnerClosed = resolve })
  await fixture.addRunner('runner-1', (exchange) => {
    exchange.socket.on('close', () => runnerClosed())
    writeHead(exchange)
    writeEvents(exchange, 0, 1)
  })
  const { connect } = await import('node:net')
  const caller = connect(fixture.port, '127.0.0.1')
  caller.write('POST /once/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: gone\r\nContent-Length: 0\r\n\r\n')
  caller.once('data', () => caller.destroy())
  await closed
  t.pass('the connection to the runner was closed')
})

/** Sends events 0 and 1, then single bytes of an event that never completes. */
function trickle (exchange: RawExchange): void {
  writeHead(exchange)
  writeEvents(exchange, 0, 1)
  const timer = setInterval(() => writeChunk(exchange, ':'), 100)
  exchange.socket.on('close', () => clearInterval(timer))
}

/** Stalls for longer than the stall time, then sends the remaining events. */
function recoverLate (exchange: RawExchange): void {
  writeHead(exchange)
  writeEvents(exchange, 0, 1)
  setTimeout(() => {
    writeEvents(exchange, 2, 4)
    exchange.socket.write('0\r\n\r\n')
  }, 1_700)
}

t.test('a stream without progress, although single bytes arrive, moves to another runner', async (t) => {
  const fixture = await createFixture(t)
  let first = true
  let closed = false
  const answer = (exchange: RawExchange) => {
    if (!first) {
      writeHead(exchange, 'second')
      writeEvents(exchange, 2, 4)
      exchange.socket.write('0\r\n\r\n')
      return
    }
    first = false
    exchange.socket.on('close', () => { closed = true })
    trickle(exchange)
  }
  await fixture.addRunner('runner-1', answer)
  await fixture.addRunner('runner-2', answer)
  const startMs = performance.now()
  const { text } = await fixture.call({ method: 'POST', path: '/resume/1' })
  t.same(idsOf(text), [0, 1, 2, 3, 4])
  t.ok(performance.now() - startMs < 2_000, 'the stream moves before callers give up')
  t.ok(closed, 'the connection to the stalled runner is closed')
})

t.test('a stalled stream is not aborted if there is no other runner', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', recoverLate)
  const { text } = await fixture.call({ method: 'POST', path: '/resume/1' })
  t.same(idsOf(text), [0, 1, 2, 3, 4])
})

t.test('a slow stream that makes progress is not moved', async (t) => {
  const fixture = await createFixture(t)
  const answer = (exchange: RawExchange) => {
    writeHead(exchange)
    for (let id = 0; id < 5; id += 1) setTimeout(() => writeEvents(exchange, id, id), 700 * id)
    setTimeout(() => exchange.socket.write('0\r\n\r\n'), 700 * 5)
  }
  const runners = [await fixture.addRunner('runner-1', answer), await fixture.addRunner('runner-2', answer)]
  const { text } = await fixture.call({ method: 'POST', path: '/resume/1' })
  t.same(idsOf(text), [0, 1, 2, 3, 4])
  t.equal(runners.reduce((sum, { requests }) => sum + requests.length, 0), 1)
})

t.test('a stalled stream is not moved when the retry budget is used up', async (t) => {
  const fixture = await createFixture(t)
  fixture.context.budget.setLimits({ ratio: 0, slack: 0, windowMs: 10_000 })
  await fixture.addRunner('runner-1', recoverLate)
  await fixture.addRunner('runner-2', recoverLate)
  const { text } = await fixture.call({ method: 'POST', path: '/resume/1' })
  t.same(idsOf(text), [0, 1, 2, 3, 4])
})
