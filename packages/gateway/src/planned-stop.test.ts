import { Agent, request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import t from 'tap'
import { configure, startHost } from './testing/gateway-host.js'
import { RawRunner } from './testing/raw-runner.js'

const CALLS_PER_S = 150

/** Callers may know a stopping host from a lookup for less than this time. */
const LISTED_MS = 4_000

type Outcome = { atMs: number, status: number, /** Value of the header of that name. */ connection?: string, /** Error code of a request without an answer. */ error?: string }

/** Sends a request over a keep-alive connection, as a caller does that hasn't repeated its lookup. */
function sendRequest (address: string, id: string, agent: Agent, path = '/plain/1'): Promise<Outcome> {
  const [host, port] = address.split(':')
  const atMs = performance.now()
  return new Promise((resolve) => {
    const sent = request({ host, port, path, headers: { host: 'test', 'request-id': id }, agent }, (response) => {
      response.resume()
      response.on('end', () => resolve({ atMs, status: response.statusCode ?? 0, connection: response.headers.connection }))
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
  // A share, which at the stated rate is over 300: a busy machine sends fewer.
  t.ok(outcomes.filter(({ status }) => status === 200).length > outcomes.length / 2)
})

t.test('a stopping host listens until its last requests have ended, and refuses then what comes', async (t) => {
  const pending = new Map<string, () => void>()
  const runner = await RawRunner.create(({ requestId, text, socket }) => {
    const answer = () => socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`)
    if (text.includes('/held')) pending.set(requestId, answer)
    else answer()
  })
  const host = await startHost()
  t.teardown(() => runner.close())
  configure(host, [runner])
  const agent = new Agent()
  const send = (id: string, path: string) => sendRequest(host.callerAddress, id, agent, path)
  await send('first', '/plain/1')
  const early = send('early', '/book/held')
  const stopped = host.gateway.stop()
  await sleep(LISTED_MS)
  const late = send('late', '/plain/held')
  while (pending.size < 2) await sleep(5)
  t.equal((await send('new', '/plain/1')).status, 200)
  pending.get('early')?.()
  t.equal((await early).status, 200)
  let outcome = await send('next-0', '/plain/1')
  for (let count = 1; outcome.status === 200; count += 1) outcome = await send(`next-${count}`, '/plain/1')
  t.match(outcome, { status: 503, connection: 'close' })
  pending.get('late')?.()
  t.equal((await late).status, 200)
  await stopped
})
