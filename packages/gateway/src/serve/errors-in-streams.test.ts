/** Guards against the text of a runner's error, or the end of its answer, in the middle of a stream that another runner began. */
import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { createRoute, GatewayFixture, type RawAnswer } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'

const resumable = createRoute({ pathPrefix: '/resume/', kind: RouteKind.Stream, resumable: true, maxAttempts: 3 })

const EVENT_STREAM = 'Content-Type: text/event-stream\r\n'

function head ({ requestId }: RawExchange, status: string, framing: string): string {
  return `HTTP/1.1 ${status}\r\nRequest-Id: ${requestId}\r\nSigned: 1\r\n${framing}\r\n`
}

function event (id: number): string {
  return `id: ${id}\ndata: x\n\n`
}

function chunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

function begin (exchange: RawExchange): void {
  exchange.socket.write(head(exchange, '200 OK', `${EVENT_STREAM}Transfer-Encoding: chunked\r\n`) + chunk(event(0)) + chunk(event(1)))
  setTimeout(() => exchange.socket.resetAndDestroy(), 30)
}

function goOn (exchange: RawExchange): void {
  exchange.socket.write(head(exchange, '200 OK', `${EVENT_STREAM}Transfer-Encoding: chunked\r\n`) + chunk(event(2)) + chunk(event(3)) + '0\r\n\r\n')
}

/** Calls a stream that breaks off behind event 1; `answers` follow in turn. */
async function callBroken (t: Test, answers: ((exchange: RawExchange) => void)[]): Promise<{ answer: RawAnswer, runs: number }> {
  const fixture = await GatewayFixture.create([resumable])
  t.teardown(() => fixture.close())
  const next = [begin, ...answers]
  let runs = 0
  const serve = (exchange: RawExchange) => next[runs++]?.(exchange)
  for (const id of ['runner-1', 'runner-2', 'runner-3']) await fixture.addRunner(id, serve)
  const answer = await fixture.call({ method: 'POST', path: '/resume/1' })
  return { answer, runs }
}

const ERRORS: Record<string, (exchange: RawExchange) => void> = {
  'a status 400': (exchange) => { exchange.socket.write(`${head(exchange, '400 Bad Request', 'Content-Length: 5\r\n')}WRONG`) },
  'a status 404, chunked': (exchange) => { exchange.socket.write(`${head(exchange, '404 Not Found', 'Transfer-Encoding: chunked\r\n')}${chunk('WRONG')}0\r\n\r\n`) },
  'a status 404 without a length': (exchange) => { exchange.socket.end(`${head(exchange, '404 Not Found', '')}WRONG`) },
  'a status 500': (exchange) => { exchange.socket.write(`${head(exchange, '500 Internal Server Error', 'Content-Length: 5\r\n')}WRONG`) },
  'a status 500 as an event stream': (exchange) => { exchange.socket.write(`${head(exchange, '500 Internal Server Error', `${EVENT_STREAM}Content-Length: 5\r\n`)}WRONG`) },
  'a status 201 as an event stream': (exchange) => { exchange.socket.write(`${head(exchange, '201 Created', `${EVENT_STREAM}Content-Length: ${event(2).length}\r\n`)}${event(2)}`) },
  'a status 200 that is no event stream': (exchange) => { exchange.socket.write(`${head(exchange, '200 OK', 'Content-Length: 5\r\n')}WRONG`) },
  'a status 204': (exchange) => { exchange.socket.write(head(exchange, '204 No Content', '')) },
  'an event without an id': (exchange) => { exchange.socket.write(`${head(exchange, '200 OK', `${EVENT_STREAM}Transfer-Encoding: chunked\r\n`)}${chunk('event: error\ndata: WRONG\n\n')}0\r\n\r\n`) },
  'a first event that was delivered already': (exchange) => { exchange.socket.write(`${head(exchange, '200 OK', `${EVENT_STREAM}Transfer-Encoding: chunked\r\n`)}${chunk(event(1))}0\r\n\r\n`) },
  'a text that is no event': (exchange) => { exchange.socket.write(`${head(exchange, '200 OK', `${EVENT_STREAM}Content-Length: 5\r\n`)}WRONG`) }
}

for (const [name, answerError] of Object.entries(ERRORS)) {
  t.test(`a stream goes on at a third runner where the second answers with ${name}`, async (t) => {
    const { answer: { text, ended }, runs } = await callBroken(t, [answerError, goOn])
    t.equal(runs, 3)
    t.notMatch(text, /WRONG/)
    t.same([...text.matchAll(/^id: (\d+)$/gm)].map((match) => match[1]), ['0', '1', '2', '3'])
    t.equal([...text.matchAll(/HTTP\/1\.1/g)].length, 1)
    t.ok(text.endsWith('0\r\n\r\n') && ended)
  })

  t.test(`a stream is broken off where all attempts end with ${name}`, async (t) => {
    const { answer: { text }, runs } = await callBroken(t, [answerError, answerError])
    t.equal(runs, 3)
    t.notMatch(text, /WRONG/)
    t.same([...text.matchAll(/^id: (\d+)$/gm)].map((match) => match[1]), ['0', '1'])
    t.equal([...text.matchAll(/HTTP\/1\.1/g)].length, 1)
    t.notOk(text.endsWith('0\r\n\r\n'))
  })
}

const FRAMINGS: Record<string, (exchange: RawExchange) => void> = {
  'a length': (exchange) => { exchange.socket.write(head(exchange, '200 OK', `${EVENT_STREAM}Content-Length: ${2 * event(2).length}\r\n`) + event(2) + event(3)) },
  chunks: goOn,
  'the end of its connection': (exchange) => { exchange.socket.end(head(exchange, '200 OK', EVENT_STREAM) + event(2) + event(3)) }
}

for (const [name, answer] of Object.entries(FRAMINGS)) {
  t.test(`a stream that began in chunks goes on where the next part ends with ${name}`, async (t) => {
    const { answer: { text } } = await callBroken(t, [answer])
    t.same([...text.matchAll(/^id: (\d+)$/gm)].map((match) => match[1]), ['0', '1', '2', '3'])
    t.ok(text.endsWith('0\r\n\r\n'))
    t.notMatch(text, /content-length/i)
  })
}
