// Guards against a host that callers are sent to before it accepts them, and one whose state is not to be seen.
import { createServer } from 'node:net'
import t from 'tap'
import { configure, startHost, type TestHost } from './testing/gateway-host.js'
import { RawRunner } from './testing/raw-runner.js'

async function status (address: string, path: string): Promise<number> {
  const response = await fetch(`http://${address}${path}`)
  await response.arrayBuffer()
  return response.status
}

t.test('a host whose address for callers is still taken is neither ready nor in lookups', async (t) => {
  const runner = await RawRunner.create(() => {})
  const holder = createServer()
  const waiting = await new Promise<TestHost & { started: Promise<TestHost> }>((resolve) => {
    const started: Promise<TestHost> = startHost([], undefined, {
      beforeStart: async (host) => {
        const [address, port] = host.callerAddress.split(':')
        await new Promise<void>((resolve) => holder.listen(Number(port), address, resolve))
        resolve({ ...host, get started () { return started } })
      }
    })
  })
  t.teardown(() => Promise.all([waiting.gateway.stop(), runner.close()]))
  while (await status(waiting.lookupAddress, '/hosts?name=x').catch(() => 0) === 0) await new Promise((resolve) => setTimeout(resolve, 10))
  configure(waiting, [runner])
  t.equal(await status(waiting.readinessAddress, '/ready'), 503)
  t.equal(await status(waiting.lookupAddress, '/hosts?name=x'), 503)
  holder.close()
  await waiting.started
  t.equal(await status(waiting.readinessAddress, '/ready'), 200)
  t.equal(await status(waiting.lookupAddress, '/hosts?name=x'), 200)
})

t.test('the metrics page has memory, descriptors and the longest turn of the event loop', async (t) => {
  const { gateway, peerAddress } = await startHost()
  t.teardown(() => gateway.stop())
  const text = await (await fetch(`http://${peerAddress}/metrics`)).text()
  for (const name of ['process_resident_memory_bytes', 'nodejs_heap_size_used_bytes', 'nodejs_external_memory_bytes', 'process_open_fds', 'process_max_fds', 'nodejs_eventloop_lag_max_seconds']) {
    t.match(text, new RegExp(`^${name}\\{`, 'm'))
  }
})
