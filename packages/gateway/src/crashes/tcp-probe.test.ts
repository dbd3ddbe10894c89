/** Guards against probes that take an address that refuses connections for one that accepts them. */
import t from 'tap'
import { createServer, type AddressInfo } from 'node:net'
import { freeAddress } from '../testing/free-address.js'
import { ProbeResult } from './types.js'
import { TcpProbe } from './tcp-probe.js'

t.test('a listener accepts a probe, which sends nothing and ends', async (t) => {
  let receivedBytes = 0
  const ended = new Promise<void>((resolve) => {
    const server = createServer((socket) => {
      socket.on('data', (chunk) => { receivedBytes += chunk.length })
      socket.on('error', () => {})
      socket.on('close', () => resolve())
    })
    t.teardown(() => server.close())
    server.listen(0, '127.0.0.1', async () => {
      const { port } = server.address() as AddressInfo
      t.equal(await TcpProbe.create().probe(`127.0.0.1:${port}`, 2_000), ProbeResult.Accepted)
    })
  })
  await ended
  t.equal(receivedBytes, 0)
})

t.test('a closed port refuses a probe', async (t) => {
  t.equal(await TcpProbe.create().probe(await freeAddress(), 2_000), ProbeResult.Refused)
})
