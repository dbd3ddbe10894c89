import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'

/** A host that is about to stop, with one runner; `received` lists the ids of the requests that reached the runner. */
async function createStoppingHost (t: Test) {
  const routes = [
    createRoute({ name: 'stream', pathPrefix: '/stream/', kind: RouteKind.Stream }),
    createRoute({ name: 'short', pathPrefix: '/short/', timeoutMs: 2_500 })
  ]
  const fixture = await GatewayFixture.create(routes)
  t.teardown(() => fixture.close())
  fixture.context.host.endsInMs = () => 4_900
  const received: string[] = []
  await fixture.addRunner('runner', ({ requestId, socket }) => {
    received.push(requestId)
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`)
  })
  return { fixture, received }
}

t.test('a host that is about to stop refuses a stream at once and as not run', async (t) => {
  const { fixture, received } = await createStoppingHost(t)
  const answer = await fixture.call({ method: 'POST', path: '/stream/1', id: 'r-1' })
  t.equal(answer.status, 503)
  t.match(answer.headers, /Retry-After: 0\r?\n/)
  t.same(received, [])
})

t.test('a host that is about to stop serves short requests', async (t) => {
  const { fixture, received } = await createStoppingHost(t)
  t.equal((await fixture.call({ path: '/short/1', id: 'r-2' })).status, 200)
  t.same(received, ['r-2'])
})
