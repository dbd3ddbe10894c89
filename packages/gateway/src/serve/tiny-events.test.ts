/** Guards against streams of tiny events that hold the processor: work, and a write to the caller, for each one. */
import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'

const COUNT = 5_000
/** Far fewer than there are events. */
const MAX_CHUNKS = COUNT / 10
const stream = createRoute({ pathPrefix: '/stream/', kind: RouteKind.Stream, maxAttempts: 1 })

const event = (id: number) => `id: ${id}\ndata: x\n\n`
const events = (count: number) => Array.from({ length: count }, (_, index) => event(index))
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`

async function call (t: Test, body: string) {
  const fixture = await GatewayFixture.create([stream])
  t.teardown(() => fixture.close())
  await fixture.addRunner('runner-1', ({ requestId, socket }) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${body}`)
  })
  return fixture.call({ method: 'POST', path: '/stream/1' })
}

/** The chunks of an answer; the last one is empty if the answer is whole. */
function chunksOf (body: string): string[] {
  const chunks: string[] = []
  let at = 0
  while (at < body.length) {
    const start = body.indexOf('\r\n', at) + 2
    const length = parseInt(body.slice(at, start), 16)
    chunks.push(body.slice(start, start + length))
    at = start + length + 2
  }
  return chunks
}

t.test('events that arrive together reach the caller in few chunks', async (t) => {
  const all = events(COUNT)
  for (const body of [chunk(all.join('')), all.map(chunk).join('')]) {
    const answer = await call(t, `${body}0\r\n\r\n`)
    const chunks = chunksOf(answer.body)
    t.equal(chunks.join(''), all.join(''))
    t.equal(chunks.at(-1), '')
    t.ok(chunks.length < MAX_CHUNKS, `${chunks.length} chunks`)
  }
})

t.test('of events that arrive together, those before a faulty one are written', async (t) => {
  const answer = await call(t, `${chunk(`${event(1)}${event(2)}${event(4)}${event(5)}`)}0\r\n\r\n`)
  t.same(chunksOf(answer.body).join(''), `${event(1)}${event(2)}`)
  t.notMatch(answer.body, /\r\n0\r\n/)
})
