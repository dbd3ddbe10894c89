/** Guards against a refusal that a runner writes once more on a kept connection, and that passes for the answer to a request that runs. */
import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'

const book = createRoute({ pathPrefix: '/book/', kind: RouteKind.NonIdempotent, maxAttempts: 2 })
const stream = createRoute({ pathPrefix: '/stream/', kind: RouteKind.Stream, resumable: true, maxAttempts: 3 })

async function createFixture (t: Test): Promise<GatewayFixture> {
  const fixture = await GatewayFixture.create([book, stream])
  t.teardown(() => fixture.close())
  return fixture
}

function refusal (requestId: string): string {
  return `HTTP/1.1 503 Busy\r\nRequest-Id: ${requestId}\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull`
}

function good (requestId: string): string {
  return `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: 1\r\nContent-Length: 4\r\n\r\ngood`
}

const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

/** Refuses the first request; writes this refusal once more on its connection when the next request comes there, and runs that. */
function refuseOnceMore (ran: string[]): (exchange: RawExchange) => void {
  const refused = new Map<RawExchange['socket'], string>()
  return ({ requestId, socket, number }) => {
    if (number === 1) {
      refused.set(socket, requestId)
      socket.write(refusal(requestId))
      return
    }
    ran.push(requestId)
    const earlier = refused.get(socket)
    if (earlier !== undefined) socket.write(refusal(earlier))
    setTimeout(() => socket.write(good(requestId)), 50)
  }
}

t.test('the next try under an id that was refused gets its own answer', async (t) => {
  const fixture = await createFixture(t)
  const ran: string[] = []
  await fixture.addRunner('runner-1', refuseOnceMore(ran))
  t.equal((await fixture.call({ method: 'POST', path: '/book/1', id: 'request-1' })).status, 503)
  t.match(await fixture.call({ method: 'POST', path: '/book/1', id: 'request-1' }), { status: 200, body: 'good' })
  t.same(ran, ['request-1'])
})

t.test('a stream that is asked for again under an id that was refused gets its own answer', async (t) => {
  const fixture = await createFixture(t)
  const ran: string[] = []
  await fixture.addRunner('runner-1', refuseOnceMore(ran))
  t.equal((await fixture.call({ method: 'POST', path: '/stream/1', id: 'request-1' })).status, 503)
  t.equal((await fixture.call({ method: 'POST', path: '/stream/1', id: 'request-1' })).status, 200)
  t.same(ran, ['request-1'])
})

t.test('a refusal of an earlier request promises nothing for the next one', async (t) => {
  const fixture = await createFixture(t)
  const ran: string[] = []
  const runner = await fixture.addRunner('runner-1', refuseOnceMore(ran))
  t.equal((await fixture.call({ method: 'POST', path: '/book/1', id: 'request-1' })).status, 503)
  t.equal((await fixture.call({ method: 'POST', path: '/book/1', id: 'request-2' })).status, 502)
  t.same(ran, ['request-2'])
  t.equal(runner.requests.length, 2)
})

t.test('a refusal that waits on the connection before the next request is written is no answer to it', async (t) => {
  for (const id of ['request-1', 'request-2']) {
    const fixture = await createFixture(t)
    const runner = await fixture.addRunner('runner-1', ({ requestId, socket, number }) => {
      if (number > 1) return socket.write(good(requestId))
      socket.write(refusal(requestId))
      setTimeout(() => socket.write(refusal(id)), 20)
    })
    t.equal((await fixture.call({ method: 'POST', path: '/book/1', id: 'request-1' })).status, 503)
    await pause(60)
    t.match(await fixture.call({ method: 'POST', path: '/book/1', id }), { status: 200, body: 'good' })
    t.equal(runner.connections, 2)
  }
})

t.test('two refusals in one piece are one', async (t) => {
  const fixture = await createFixture(t)
  await fixture.addRunner('runner-1', ({ requestId, socket, number }) => {
    socket.write(number === 1 ? refusal(requestId) + refusal('request-2') : good(requestId))
  })
  t.equal((await fixture.call({ method: 'POST', path: '/book/1', id: 'request-1' })).status, 503)
  t.match(await fixture.call({ method: 'POST', path: '/book/1', id: 'request-2' }), { status: 200, body: 'good' })
})

t.test('refused requests keep their connection for other ones', async (t) => {
  const fixture = await createFixture(t)
  const runner = await fixture.addRunner('runner-1', ({ requestId, socket, number }) => { socket.write(number <= 3 ? refusal(requestId) : good(requestId)) })
  for (let call = 1; call <= 4; call += 1) await fixture.call({ method: 'POST', path: '/book/1', id: `request-${call}` })
  t.equal(runner.requests.length, 4)
  t.equal(runner.connections, 1)
})
