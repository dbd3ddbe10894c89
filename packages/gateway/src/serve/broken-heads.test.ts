// Guards against successes whose runner stopped within the head or the framing of its answer and closed.
import t, { type Test } from 'tap'
import { RouteKind, type Route } from '../config/types.js'
import { FixedPaths } from '../testing/fixed-paths.js'
import { createEntry, createRoute, GatewayFixture, type RawAnswer } from '../testing/gateway-fixture.js'
import { PassingHost } from '../testing/passing-host.js'
import type { RawExchange } from '../testing/raw-runner.js'

const BODY = 'whole answer'
const EVENT_STREAM = 'Content-Type: text/event-stream'

const booking: Partial<Route> = { kind: RouteKind.NonIdempotent, maxAttempts: 1 }
const resumable: Partial<Route> = { kind: RouteKind.Stream, resumable: true, maxAttempts: 2 }

const Ending = { Close: 'closes', Reset: 'is reset' } as const
type Ending = (typeof Ending)[keyof typeof Ending]

function answerText (requestId: string): string {
  return `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`
}

function chunkedText (requestId: string): string {
  return `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`
}

function cutAt ({ requestId, socket, text }: RawExchange, write: (requestId: string) => string, ending: Ending): void {
  const bytes = Number(/\/cut\/(\d+)/.exec(text)?.[1])
  socket.write(write(requestId).slice(0, bytes))
  if (ending === Ending.Reset) socket.resetAndDestroy()
  else socket.end()
}

async function createFixture (t: Test, route: Partial<Route>): Promise<GatewayFixture> {
  const fixture = await GatewayFixture.create([createRoute(route)])
  t.teardown(() => fixture.close())
  return fixture
}

/** Sends a request for each place at which the answer can be cut; ids have one length, so that places mean the same. */
async function callAll (fixture: GatewayFixture, write: (requestId: string) => string): Promise<RawAnswer[]> {
  const cuts = Array.from({ length: write('request-000').length - 1 }, (_, index) => index + 1)
  const answers: RawAnswer[] = []
  for (const cut of cuts) answers.push(await fixture.call({ method: 'POST', path: `/cut/${cut}`, id: `request-${String(cut).padStart(3, '0')}` }))
  return answers
}

const successes = (answers: RawAnswer[]) => answers.filter(({ status }) => status < 300).length

for (const ending of Object.values(Ending)) {
  for (const [name, write] of Object.entries({ 'a length': answerText, chunks: chunkedText })) {
    t.test(`an answer with ${name} that is cut at any byte and ${ending} is no success`, async (t) => {
      const fixture = await createFixture(t, booking)
      await fixture.addRunner('runner-1', (exchange) => cutAt(exchange, write, ending))
      t.equal(successes(await callAll(fixture, write)), 0)
    })
  }

  t.test(`the second answer on a connection that is cut at any byte and ${ending} is no success`, async (t) => {
    const fixture = await createFixture(t, booking)
    await fixture.addRunner('runner-1', (exchange) => {
      if (/\/whole\//.test(exchange.text)) exchange.socket.write(answerText(exchange.requestId))
      else cutAt(exchange, answerText, ending)
    })
    const answers: RawAnswer[] = []
    for (let cut = 1; cut < answerText('request-000').length; cut += 1) {
      await fixture.call({ method: 'POST', path: '/whole/1', id: 'request-whole' })
      answers.push(await fixture.call({ method: 'POST', path: `/cut/${cut}`, id: `request-${String(cut).padStart(3, '0')}` }))
    }
    t.equal(successes(answers), 0)
  })

  t.test(`an answer over another host that is cut at any byte and ${ending} is no success`, async (t) => {
    const host = await createFixture(t, booking)
    const passing = await PassingHost.create()
    t.teardown(() => passing.close())
    const runner = await passing.fixture.addRunner('runner-1', (exchange) => cutAt(exchange, answerText, ending))
    host.context.runners.upsert(createEntry({ id: 'runner-1', address: runner.address }))
    const paths = FixedPaths.create()
    paths.hosts.push(passing.peerAddress)
    host.context.paths = paths
    t.equal(successes(await callAll(host, answerText)), 0)
  })

  t.test(`a stream whose second runner's head is cut at any byte and ${ending} is not whole`, async (t) => {
    const events = (requestId: string) => `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\n${EVENT_STREAM}\r\nContent-Length: 15\r\n\r\nid: 1\ndata: y\n\n`
    const fixture = await createFixture(t, resumable)
    const answer = (exchange: RawExchange) => {
      if (/last-event-id/i.test(exchange.text)) return cutAt(exchange, events, ending)
      exchange.socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${exchange.requestId}\r\nSigned: s\r\n${EVENT_STREAM}\r\nTransfer-Encoding: chunked\r\n\r\ne\r\nid: 0\ndata: x\n\n\r\n`)
      setTimeout(() => exchange.socket.resetAndDestroy(), 5)
    }
    for (const id of ['runner-1', 'runner-2']) await fixture.addRunner(id, answer)
    const answers = await callAll(fixture, events)
    t.equal(answers.filter(({ body }) => body.endsWith('\r\n0\r\n\r\n')).length, 0)
  })
}
