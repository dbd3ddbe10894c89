import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'

/** A host that is about to end, with one runner; `seen` lists the requests that reached it. */
async function createStoppingHost (t: Test) {
  const routes = [
    createRoute({ name: 'stream', pathPrefix: '/stream/', kind: RouteKind.Stream }),
    createRoute({ name: 'short', pathPrefix: '/short/' })
  ]
  const fixture = await GatewayFixture.create(routes)
  t.teardown(() => fixture.close())
  fixture.context.host.isClosedToStreams = () => true
  const seen: string[] = []
  await fixture.addRunner('runner', ({ requestId, socket }) => {
    seen.push(requestId)
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`)
  })
  return { fixture, seen }
}

t.test('a host about to end refuses a stream at once and as not run', async (t) => {
  const { fixture, seen } = await createStoppingHost(t)
  const answer = await fixture.call({ method: 'POST', path: '/stream/1', id: 'r-1' })
  t.equal(answer.status, 503)
  t.match(answer.headers, /Retry-After: 0\r?\n/)
  t.same(seen, [])
})

t.test('a host about to end serves what is short', async (t) => {
  const { fixture, seen } = await createStoppingHost(t)
  t.equal((await fixture.call({ path: '/short/1', id: 'r-2' })).status, 200)
  t.same(seen, ['r-2'])
})
