import { Agent, request } from 'node:http'
import t from 'tap'
import { configure, startHost } from './testing/gateway-host.js'
import { RawRunner } from './testing/raw-runner.js'

const CALLS_PER_S = 150

type Outcome = { atMs: number, status: number, /** Error code of a request without an answer. */ error?: string }

/** Sends a request over a keep-alive connection, as a caller does that hasn't repeated its lookup. */
function sendRequest (address: string, id: string, agent: Agent): Promise<Outcome> {
  const [host, port] = address.split(':')
  const atMs = performance.now()
  return new Promise((resolve) => {
    const sent = request({ host, port, path: '/plain/1', headers: { host: 'test', 'request-id': id }, agent }, (response) => {
      response.resume()
      response.on('end', () => resolve({ atMs, status: response.statusCode ?? 0 }))
      response.on('error', () => resolve({ atMs, status: 0, error: 'cut' }))
    })
    sent.on('error', (error: NodeJS.ErrnoException) => resolve({ atMs, status: 0, error: error.code }))
    sent.end()
  })
}

t.test('every request that was accepted before a planned stop under load is answered', async (t) => {
  const runner = await RawRunner.create(({ requestId, socket }) => {
    setTimeout(() => socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`), 40)
  })
  const host = await startHost()
  t.teardown(() => runner.close())
  configure(host, [runner])
  const agent = new Agent({ keepAlive: true, maxSockets: 40 })
  const outcomesInFlight: Promise<Outcome>[] = []
  const requestTimer = setInterval(() => outcomesInFlight.push(sendRequest(host.callerAddress, `r-${outcomesInFlight.length}`, agent)), 1_000 / CALLS_PER_S)
  await new Promise((resolve) => setTimeout(resolve, 500))
  await host.gateway.stop()
  clearInterval(requestTimer)
  const outcomes = await Promise.all(outcomesInFlight)
  agent.destroy()
  const unanswered = outcomes.filter(({ status, error }) => status === 0 && error !== 'ECONNREFUSED')
  t.same(unanswered, [], `of ${outcomes.length}`)
  t.ok(outcomes.filter(({ status }) => status === 200).length > 300)
})
