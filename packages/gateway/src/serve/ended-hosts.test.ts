// Guards against answers that look whole to their callers although the host that passed them on ended in the middle: the kernel
// then closes the callers' connections in order.
import { Agent, request } from 'node:http'
import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { createRoute, GatewayFixture, type RawAnswer } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'

const FIRST = 'id: 0\ndata: x\n\n'
const SECOND = 'id: 1\ndata: y\n\n'
const LENGTH = FIRST.length + SECOND.length

const Framing = { Unframed: 'neither length nor chunks', Old: 'HTTP/1.0', Length: 'a length', Chunked: 'chunks' } as const
type Framing = (typeof Framing)[keyof typeof Framing]

const FRAMING_HEADERS: Record<Framing, string> = {
  [Framing.Unframed]: '',
  [Framing.Old]: '',
  [Framing.Length]: `Content-Length: ${LENGTH}\r\n`,
  [Framing.Chunked]: 'Transfer-Encoding: chunked\r\n'
}

async function createFixture (t: Test, answer: (exchange: RawExchange) => void): Promise<GatewayFixture> {
  const fixture = await GatewayFixture.create([createRoute({ kind: RouteKind.Stream })])
  t.teardown(() => fixture.close())
  await fixture.addRunner('runner-1', answer)
  return fixture
}

function encode (framing: Framing, text: string): string {
  return framing === Framing.Chunked ? `${text.length.toString(16)}\r\n${text}\r\n` : text
}

function begin ({ requestId, socket }: RawExchange, framing: Framing): void {
  const version = framing === Framing.Old ? '1.0' : '1.1'
  socket.write(`HTTP/${version} 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Type: text/event-stream\r\n${FRAMING_HEADERS[framing]}\r\n${encode(framing, FIRST)}`)
}

function finish ({ socket }: RawExchange, framing: Framing): void {
  socket.write(encode(framing, SECOND))
  if (framing === Framing.Chunked) socket.write('0\r\n\r\n')
  if (framing === Framing.Unframed || framing === Framing.Old) socket.end()
}

/** Whether the caller takes the answer for a whole one, by the rules of HTTP. */
function looksWhole ({ status, ended, headers, body }: RawAnswer): boolean {
  if (status !== 200 || !ended) return false
  if (/^transfer-encoding: chunked\r?$/im.test(headers)) return body.endsWith('0\r\n\r\n')
  const length = /^content-length: (\d+)\r?$/im.exec(headers)?.[1]
  return length === undefined || body.length >= Number(length)
}

for (const httpVersion of ['1.1', '1.0']) {
  for (const framing of Object.values(Framing)) {
    t.test(`a stream with ${framing} to an HTTP/${httpVersion} caller is not whole when its host ends`, async (t) => {
      const fixture = await createFixture(t, (exchange) => {
        begin(exchange, framing)
        // The first event has reached the caller by then.
        setTimeout(() => fixture.closeCallers(), 50)
      })
      const answer = fixture.call({ method: 'POST', httpVersion })
      t.notOk(looksWhole(await answer))
    })

    t.test(`a stream with ${framing} to an HTTP/${httpVersion} caller is whole when its runner ends it`, async (t) => {
      const fixture = await createFixture(t, (exchange) => {
        begin(exchange, framing)
        setTimeout(() => finish(exchange, framing), 30)
      })
      const answer = await fixture.call({ method: 'POST', httpVersion })
      t.ok(looksWhole(answer))
      t.match(answer.body, /id: 0\ndata: x\n\n[^]*id: 1\ndata: y\n\n/)
    })
  }
}

t.test('a caller that keeps its connection sends its next request on it after a stream without a length', async (t) => {
  const fixture = await createFixture(t, (exchange) => {
    begin(exchange, Framing.Unframed)
    setTimeout(() => finish(exchange, Framing.Unframed), 10)
  })
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  t.teardown(() => agent.destroy())
  const send = (id: string) => new Promise<{ body: string, reused: boolean }>((resolve, reject) => {
    const sent = request({ agent, port: fixture.port, method: 'POST', headers: { host: 'test', 'request-id': id } }, (answer) => {
      answer.toArray().then((chunks) => resolve({ body: Buffer.concat(chunks).toString(), reused: sent.reusedSocket }), reject)
    })
    sent.on('error', reject)
    sent.end()
  })
  t.same(await send('request-1'), { body: FIRST + SECOND, reused: false })
  t.same(await send('request-2'), { body: FIRST + SECOND, reused: true })
})

for (const framing of [Framing.Unframed, Framing.Length]) {
  t.test(`an answer to HEAD with ${framing} has the length that its runner stated, and no other`, async (t) => {
    const fixture = await createFixture(t, ({ requestId, socket }) => {
      socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\n${FRAMING_HEADERS[framing]}\r\n`)
    })
    const { status, headers, body } = await fixture.call({ method: 'HEAD' })
    t.same({ status, body }, { status: 200, body: '' })
    t.equal(/^content-length: (\d+)\r?$/im.exec(headers)?.[1], framing === Framing.Length ? String(LENGTH) : undefined)
  })
}

t.test('an answer without a length that is not a stream is not whole when its caller gets a part of it', async (t) => {
  const fixture = await createFixture(t, ({ requestId, socket }) => {
    socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\n\r\n${'x'.repeat(100)}`)
  })
  const { headers, body } = await fixture.call({ method: 'POST' })
  t.equal(/^content-length: (\d+)\r?$/im.exec(headers)?.[1], '100')
  t.equal(body.length, 100)
})
