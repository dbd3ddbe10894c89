/** Guards against a runner that sends without end and gets new requests again and again. */
import t from 'tap'
import { RouteKind } from '../config/types.js'
import { EndlessWriter } from '../testing/endless-writer.js'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'

const book = createRoute({ pathPrefix: '/book/', kind: RouteKind.NonIdempotent, maxAttempts: 1 })
/** Answers without end after which a runner gets no new requests. */
const FAILURES = 3
const REQUESTS = 10

for (const atOnce of [false, true]) {
  t.test(`new requests go to a sound runner after a few answers without end, ${atOnce ? 'several at once' : 'one after another'}`, async (t) => {
    const fixture = await GatewayFixture.create([book])
    t.teardown(() => fixture.close())
    const head = (id: string) => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nSigned: s\r\n`
    const endless = await fixture.addRunner('endless', ({ requestId, socket }) => { EndlessWriter.start(socket, `${head(requestId)}\r\n`, 'x') })
    const call = (id: string) => fixture.call({ method: 'POST', path: '/book/1', id })
    const ids = Array.from({ length: FAILURES }, (_, index) => `endless-${index}`)
    if (atOnce) await Promise.all(ids.map(call))
    else for (const id of ids) await call(id)
    t.equal(endless.requests.length, FAILURES)
    await fixture.addRunner('sound', ({ requestId, socket }) => { socket.write(`${head(requestId)}Content-Length: 2\r\n\r\nok`) })
    const answers = await Promise.all(Array.from({ length: REQUESTS }, (_, index) => call(`sound-${index}`)))
    t.ok(answers.every(({ status }) => status === 200))
    t.equal(endless.requests.length, FAILURES)
  })
}
