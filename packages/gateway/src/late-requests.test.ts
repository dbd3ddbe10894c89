// Guards against requests that a stopping host takes and then cuts off without an answer, among them ones that must not run twice.
import { Agent, request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import t, { type Test } from 'tap'
import { configure, startHost, type TestHost } from './testing/gateway-host.js'
import { RawRunner } from './testing/raw-runner.js'

const BOOKINGS = 4
/** Longer than what is left of the grace period of 8 s when the late bookings are sent. */
const LONG_WORK_MS = 5_000
const SHORT_WORK_MS = 20
const LATE_MS = 3_100

/** Status of an answer; 0 if the connection ended without one. */
type Reply = { status: number, text: string }

function send (address: string, path: string, id: string, agent: Agent): Promise<Reply> {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    const sent = request({ agent, host, port, path, method: path.startsWith('/book/') ? 'POST' : 'GET', headers: { host: 'test', 'request-id': id } }, (answer) => {
      answer.toArray().then((chunks) => resolve({ status: answer.statusCode ?? 0, text: Buffer.concat(chunks).toString() }), () => resolve({ status: 0, text: '' }))
    })
    sent.on('error', () => resolve({ status: 0, text: '' }))
    sent.end()
  })
}

/** A host in front of a runner that takes long for bookings; undefined: it never answers them. */
async function createScene (t: Test, bookingMs: number | undefined): Promise<{ host: TestHost, runner: RawRunner, agent: Agent }> {
  const runner = await RawRunner.create(({ requestId, text, socket }) => {
    const workMs = text.startsWith('POST') ? bookingMs : SHORT_WORK_MS
    const answer = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok`
    if (workMs !== undefined) setTimeout(() => socket.write(answer), workMs)
  })
  const host = await startHost()
  configure(host, [runner])
  const agent = new Agent({ keepAlive: true, maxSockets: BOOKINGS })
  t.teardown(async () => {
    agent.destroy()
    await runner.close()
  })
  return { host, runner, agent }
}

const sendAll = (host: TestHost, path: string, name: string, agent: Agent) => {
  return Promise.all(Array.from({ length: BOOKINGS }, (_, index) => send(host.callerAddress, path, `${name}-${index}`, agent)))
}

t.test('a booking that comes late in the grace and needs more than the rest of it is refused at once, as not run', async (t) => {
  const { host, runner, agent } = await createScene(t, LONG_WORK_MS)
  await sendAll(host, '/plain/1', 'read', agent)
  const stopped = host.gateway.stop()
  await sleep(LATE_MS)
  const sentMs = performance.now()
  const replies = await sendAll(host, '/book/1', 'booking', agent)
  t.same(replies.map(({ status }) => status), [503, 503, 503, 503])
  t.ok(performance.now() - sentMs < 500)
  t.same(runner.requests.filter((text) => text.startsWith('POST')), [])
  await stopped
})

t.test('a booking that comes late in the grace is served where the route answers in a short time', async (t) => {
  const { host, agent } = await createScene(t, SHORT_WORK_MS)
  await sendAll(host, '/book/1', 'before', agent)
  const stopped = host.gateway.stop()
  await sleep(LATE_MS)
  t.same((await sendAll(host, '/book/1', 'late', agent)).map(({ status }) => status), [200, 200, 200, 200])
  await stopped
})

t.test('a booking whose runner is still at work at the end of the grace gets a final answer', async (t) => {
  const { host, agent } = await createScene(t, undefined)
  const replies = sendAll(host, '/book/1', 'booking', agent)
  await sleep(200)
  await host.gateway.stop()
  t.same((await replies).map(({ status }) => status), [504, 504, 504, 504])
})

t.test('a second request to stop waits for the first one, and cuts nothing off', async (t) => {
  const { host, agent } = await createScene(t, 1_000)
  const replies = sendAll(host, '/book/1', 'booking', agent)
  await sleep(100)
  const first = host.gateway.stop()
  let isOver = false
  const second = host.gateway.stop().then(() => { isOver = true })
  await sleep(100)
  t.notOk(isOver)
  t.same((await replies).map(({ status }) => status), [200, 200, 200, 200])
  await Promise.all([first, second])
})
