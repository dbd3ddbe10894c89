// Guards against bytes on the listener for other hosts that raise an error outside of the request's own handling.
import { connect } from 'node:net'
import t from 'tap'
import { GatewayService } from '@figloom/protocol'
import { Registry, silentLogger, SystemClock } from '@figloom/runtime'
import type { PeerHandler } from '../members/peer-service.js'
import { createUnlimitedBudgets } from '../memory/memory-budgets.js'
import { freeAddress } from '../testing/free-address.js'
import { createPeerHandler } from './handlers.js'
import { HttpServer, splitAddress } from './http-server.js'

/** All that the listener answers until it closes the connection. */
function send (address: string, text: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(splitAddress(address))
    let answer = ''
    socket.on('data', (chunk) => { answer += chunk.toString() })
    socket.once('close', () => resolve(answer))
    socket.once('error', reject)
    socket.write(text)
  })
}

t.test('a request without a readable address is refused and its connection closed', async (t) => {
  const errors: unknown[] = []
  const onError = (error: unknown) => { errors.push(error) }
  process.on('uncaughtException', onError)
  const address = await freeAddress()
  const server = HttpServer.create(createPeerHandler({ handler: {} as PeerHandler, registry: new Registry(), clock: SystemClock.create(), log: silentLogger, memory: createUnlimitedBudgets() }), SystemClock.create(), { requestTimeoutMs: 1_000 })
  await server.listen(address)
  t.teardown(() => {
    server.destroy()
    process.off('uncaughtException', onError)
  })
  const head = `POST /${GatewayService.typeName}/${GatewayService.methods[0]?.name} HTTP/1`
  const requests = [`${head}.1\r\nHost: \r\n\r\n`, `${head}.1\r\nHost: a b\r\n\r\n`, `${head}.1\r\nHost: x:99999\r\n\r\n`, `${head}.0\r\n\r\n`]
  for (const request of requests) t.match(await Promise.race([send(address, request), failAfter(5_000)]), /^HTTP\/1\.1 400 /, request.slice(head.length))
  t.same(errors, [])
})

function failAfter (durationMs: number): Promise<string> {
  return new Promise((resolve) => setTimeout(() => resolve('no answer'), durationMs).unref())
}
