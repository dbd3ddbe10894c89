/** Guards against other hosts that are taken for lost because this host's own process was stalled. */
import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import { ManualClock, Registry } from '@figloom/runtime'
import t from 'tap'
import { AttemptObserver, Flow, type FailureStage } from '../forward/attempt.js'
import { ByteBudget, ByteKind } from '../memory/byte-budget.js'
import { PathKind } from '../paths/types.js'
import { freeAddress } from '../testing/free-address.js'
import { HostConnections } from './host-connections.js'
import { createPassOnMetrics } from './metrics.js'
import { PassOnClient } from './pass-on-client.js'

/** Time after which a host that doesn't report counts as silent. */
const SILENT_MS = 1_300

class Failures extends AttemptObserver {
  readonly stages: FailureStage[] = []

  override beforeWrite (): boolean {
    return true
  }

  override onHead (): Flow {
    return Flow.Continue
  }

  override onData (): Flow {
    return Flow.Continue
  }

  override onEnd (): void {}

  override onFailure (stage: FailureStage): void {
    this.stages.push(stage)
  }
}

async function listen (address: string): Promise<Server> {
  const server = createServer(() => {})
  await new Promise<void>((resolve) => server.listen(Number(address.split(':')[1]), '127.0.0.1', resolve))
  return server
}

t.test('a host that was stalled for seconds does not take the others for silent before it has read their reports', async (t) => {
  const clock = ManualClock.create()
  const peerAddress = await freeAddress()
  const server = await listen(peerAddress)
  let heardMs = 0
  const client = PassOnClient.create({ clock, metrics: createPassOnMetrics(new Registry()), memory: ByteBudget.unlimited(ByteKind.Hop), isLive: () => clock.monotonicMs() - heardMs < SILENT_MS })
  t.teardown(() => {
    client.destroy()
    server.closeAllConnections()
    server.close()
  })
  const observer = new Failures()
  client.start({ kind: PathKind.ViaHost, host: 'other', peerAddress }, {
    requestId: 'request-1',
    runner: { id: 'runner-1', address: '127.0.0.1:1' },
    request: { id: 'request-1', method: 'GET', target: '/', headers: [], body: undefined },
    timeLeftMs: 60_000
  }, observer)
  for (let count = 0; count < 5; count += 1) {
    await clock.advance(400)
    heardMs = clock.monotonicMs()
  }
  t.same(observer.stages, [])
  // The check that is due next runs three seconds late, before any report is read.
  const wokenMs = clock.monotonicMs() + 3_000
  clock.monotonicMs = () => wokenMs
  await clock.advance(200)
  t.same(observer.stages, [])
})

t.test('a host that accepted a connection while this process was stalled is reached', async (t) => {
  const peerAddress = await freeAddress()
  const server = await listen(peerAddress)
  const connections = HostConnections.create()
  t.teardown(() => {
    connections.destroy()
    server.close()
  })
  const [host, port] = peerAddress.split(':')
  const socket = connections.createConnection({ host, port })
  t.teardown(() => { socket.destroy() })
  const connected = once(socket, 'connect')
  process.nextTick(() => {
    const endMs = performance.now() + 600
    while (performance.now() < endMs);
  })
  await t.resolves(connected)
})
