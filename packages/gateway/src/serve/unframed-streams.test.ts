// Guards against streams that were broken off and look whole to their callers, and against whole ones that look broken off.
import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { createRoute, GatewayFixture, type RawAnswer } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'

const Framing = { Unframed: 'neither length nor chunks', Old: 'HTTP/1.0', Chunked: 'chunks' } as const
type Framing = (typeof Framing)[keyof typeof Framing]
const Ending = { Close: 'a close', Reset: 'a reset', Complete: 'its last chunk' } as const
type Ending = (typeof Ending)[keyof typeof Ending]

const EVENTS = ['id: 0\ndata: x\n\n', 'id: 1\ndata: y\n\n']
const WHOLE = EVENTS.join('')

const once = createRoute({ pathPrefix: '/once/', kind: RouteKind.Stream, maxAttempts: 1 })
const resumable = createRoute({ pathPrefix: '/resume/', kind: RouteKind.Stream, resumable: true })

async function createFixture (t: Test): Promise<GatewayFixture> {
  const fixture = await GatewayFixture.create([once, resumable])
  t.teardown(() => fixture.close())
  return fixture
}

function send ({ requestId, socket }: RawExchange, framing: Framing, body: string, ending: Ending): void {
  const version = framing === Framing.Old ? 'HTTP/1.0' : 'HTTP/1.1'
  const isChunked = framing === Framing.Chunked
  const chunk = body === '' ? '' : `${body.length.toString(16)}\r\n${body}\r\n`
  socket.write(`${version} 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Type: text/event-stream\r\n${isChunked ? 'Transfer-Encoding: chunked\r\n' : ''}\r\n`)
  socket.write(isChunked ? chunk : body)
  // What was written arrives before the end of the connection.
  setTimeout(() => {
    if (ending === Ending.Reset) socket.resetAndDestroy()
    else socket.end(ending === Ending.Complete ? '0\r\n\r\n' : '')
  }, 15)
}

/** Whether the caller takes the answer for a whole one. */
function looksWhole ({ status, ended, headers, body }: RawAnswer): boolean {
  if (status !== 200 || !ended) return false
  return /transfer-encoding: chunked/i.test(headers) ? body.endsWith('0\r\n\r\n') : !/[^\n]\n?$/.test(body)
}

type Case = { framing: Framing, body: string, ending: Ending, whole: boolean }

const CASES: Case[] = [
  { framing: Framing.Unframed, body: WHOLE, ending: Ending.Close, whole: true },
  { framing: Framing.Old, body: WHOLE, ending: Ending.Close, whole: true },
  { framing: Framing.Chunked, body: WHOLE, ending: Ending.Complete, whole: true },
  { framing: Framing.Unframed, body: WHOLE, ending: Ending.Reset, whole: false },
  { framing: Framing.Old, body: WHOLE, ending: Ending.Reset, whole: false },
  { framing: Framing.Chunked, body: WHOLE, ending: Ending.Reset, whole: false },
  { framing: Framing.Chunked, body: WHOLE, ending: Ending.Close, whole: false },
  { framing: Framing.Unframed, body: '', ending: Ending.Close, whole: false },
  { framing: Framing.Old, body: '', ending: Ending.Close, whole: false },
  { framing: Framing.Unframed, body: '', ending: Ending.Reset, whole: false },
  { framing: Framing.Chunked, body: '', ending: Ending.Close, whole: false }
]

for (const { framing, body, ending, whole } of CASES) {
  const events = body === '' ? 'no event' : 'whole events'
  t.test(`a stream with ${framing} that ends with ${ending} after ${events} ${whole ? 'is' : 'is not'} whole`, async (t) => {
    const fixture = await createFixture(t)
    await fixture.addRunner('runner-1', (exchange) => send(exchange, framing, body, ending))
    const answer = await fixture.call({ method: 'POST', path: '/once/1' })
    t.equal(looksWhole(answer), whole)
    if (whole) t.match(answer.body, /id: 1\ndata: y\n\n/)
  })
}

for (const framing of Object.values(Framing)) {
  t.test(`a stream with ${framing} that ends within an event is not whole, wherever it ends`, async (t) => {
    const fixture = await createFixture(t)
    await fixture.addRunner('runner-1', (exchange) => {
      const cutAt = Number(/once\/(\d+)/.exec(exchange.text)?.[1])
      send(exchange, framing, WHOLE.slice(0, cutAt), Ending.Close)
    })
    const firstEnd = EVENTS[0]?.length ?? 0
    const cuts = Array.from({ length: WHOLE.length - 1 }, (_, index) => index + 1).filter((cutAt) => cutAt !== firstEnd)
    const answers = await Promise.all(cuts.map((cutAt) => fixture.call({ method: 'POST', path: `/once/${cutAt}`, id: `request-${cutAt}` })))
    t.same(cuts.filter((_, index) => looksWhole(answers[index] as RawAnswer)), [])
  })
}

for (const [first, second] of [[Framing.Unframed, Framing.Chunked], [Framing.Chunked, Framing.Unframed], [Framing.Unframed, Framing.Unframed]] as const) {
  t.test(`a stream with ${first} that breaks off goes on at a runner that uses ${second}`, async (t) => {
    const fixture = await createFixture(t)
    const answer = (exchange: RawExchange) => {
      const isResumed = /last-event-id/i.test(exchange.text)
      const complete = second === Framing.Chunked ? Ending.Complete : Ending.Close
      if (isResumed) send(exchange, second, EVENTS[1] ?? '', complete)
      else send(exchange, first, `${EVENTS[0]}id: 1\nda`, Ending.Close)
    }
    await fixture.addRunner('runner-1', answer)
    await fixture.addRunner('runner-2', answer)
    const result = await fixture.call({ method: 'POST', path: '/resume/1' })
    t.ok(looksWhole(result))
    t.same([...result.body.matchAll(/^id: (\d)$/gm)].map(([, id]) => id), ['0', '1'])
  })

  t.test(`a stream with ${first} that breaks off, and whose second runner with ${second} breaks off too, is not whole`, async (t) => {
    const fixture = await createFixture(t)
    const answer = (exchange: RawExchange) => {
      const isResumed = /last-event-id/i.test(exchange.text)
      if (isResumed) send(exchange, second, '', Ending.Close)
      else send(exchange, first, `${EVENTS[0]}id: 1\nda`, Ending.Close)
    }
    await fixture.addRunner('runner-1', answer)
    await fixture.addRunner('runner-2', answer)
    t.notOk(looksWhole(await fixture.call({ method: 'POST', path: '/resume/1' })))
  })
}
