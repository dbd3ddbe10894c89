/** Guards against a refusal that a runner writes once more to the host that passes requests on, and that passes for the answer to a request that runs. */
import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { FixedPaths } from '../testing/fixed-paths.js'
import { createEntry, createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import { PassingHost } from '../testing/passing-host.js'
import { RawRunner, type RawExchange } from '../testing/raw-runner.js'

async function startHost (t: Test, answer: (exchange: RawExchange) => void): Promise<GatewayFixture> {
  const host = await GatewayFixture.create([createRoute({ kind: RouteKind.NonIdempotent, maxAttempts: 2 })])
  const passing = await PassingHost.create()
  const runner = await RawRunner.create(answer)
  const paths = FixedPaths.create()
  paths.hosts.push(passing.peerAddress)
  host.context.paths = paths
  for (const { context } of [host, passing.fixture]) context.runners.upsert(createEntry({ id: 'runner-1', address: runner.address }))
  t.teardown(async () => {
    await Promise.all([host.close(), passing.close()])
    await runner.close()
  })
  return host
}

function refusal (requestId: string): string {
  return `HTTP/1.1 503 Busy\r\nRequest-Id: ${requestId}\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull`
}

function good (requestId: string): string {
  return `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: 1\r\nContent-Length: 4\r\n\r\ngood`
}

t.test('over another host, the next try under an id that was refused gets its own answer', async (t) => {
  const ran: string[] = []
  const refused = new Map<RawExchange['socket'], string>()
  const host = await startHost(t, ({ requestId, socket, number }) => {
    if (number === 1) {
      refused.set(socket, requestId)
      socket.write(refusal(requestId))
      return
    }
    ran.push(requestId)
    const earlier = refused.get(socket)
    if (earlier !== undefined) socket.write(refusal(earlier))
    setTimeout(() => socket.write(good(requestId)), 50)
  })
  t.equal((await host.call({ method: 'POST', id: 'request-1' })).status, 503)
  const { status } = await host.call({ method: 'POST', id: 'request-1' })
  t.same(ran, ['request-1'])
  t.equal(status, 200, 'a request that ran is not answered with a refusal')
})
