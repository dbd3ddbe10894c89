// Guards against callers of a complete host without direct paths that get no whole answers, and against a stop that cuts them off.
import { request } from 'node:http'
import t, { type Test } from 'tap'
import { FixedPaths } from '../testing/fixed-paths.js'
import { configure, startHost, type TestHost } from '../testing/gateway-host.js'
import { PathKind, type RunnerPath } from '../paths/types.js'
import { RawRunner, type RawExchange } from '../testing/raw-runner.js'

/** All runners are reached by way of the other host, known to the members by its name. */
class PathsOverHost extends FixedPaths {
  over: TestHost | undefined

  override pathTo (): RunnerPath {
    if (this.over === undefined) return { kind: PathKind.Direct }
    return { kind: PathKind.ViaHost, host: `host-${this.over.callerAddress}`, peerAddress: this.over.peerAddress }
  }
}

const EVENT_COUNT = 5
/** The runner has room for all calls of a test at once. */
const MAX_CALLS = 64
const EVENT_INTERVAL_MS = 40

type Answer = { status: number, body: string, whole: boolean }

function call ({ callerAddress }: TestHost, path: string, id: string): Promise<Answer> {
  const [host, port] = callerAddress.split(':')
  return new Promise((resolve) => {
    const sent = request({ host, port, path, headers: { Host: 'test', 'Request-Id': id } }, (response) => {
      let body = ''
      response.on('data', (chunk: Buffer) => { body += chunk.toString() })
      response.on('error', () => {})
      response.on('close', () => resolve({ status: response.statusCode ?? 0, body, whole: response.complete }))
    })
    sent.on('error', () => resolve({ status: 0, body: '', whole: false }))
    sent.end()
  })
}

function answer ({ requestId, socket, text }: RawExchange): void {
  const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\n`
  if (!text.includes('/stream/')) {
    socket.write(`${head}Content-Length: ${requestId.length}\r\n\r\n${requestId}`)
    return
  }
  socket.write(`${head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`)
  let id = 0
  const timer = setInterval(() => {
    id += 1
    const event = `id: ${id}\ndata: ${requestId}\n\n`
    socket.write(`${event.length.toString(16)}\r\n${event}\r\n${id === EVENT_COUNT ? '0\r\n\r\n' : ''}`)
    if (id === EVENT_COUNT) clearInterval(timer)
  }, EVENT_INTERVAL_MS)
}

/** The host with the callers, the one that passes on, and a runner. */
async function startTwo (t: Test): Promise<{ first: TestHost, second: TestHost, runner: RawRunner }> {
  const paths = new PathsOverHost()
  const second = await startHost()
  const first = await startHost([second.peerAddress], undefined, { paths })
  const runner = await RawRunner.create(answer)
  for (const host of [first, second]) configure(host, [runner], { slots: MAX_CALLS })
  while (!(await metricOf(first, 'figloom_gateway_live_hosts')).join().endsWith(' 1')) await new Promise((resolve) => setTimeout(resolve, 50))
  paths.over = second
  t.teardown(async () => {
    await Promise.all([first.gateway.stop(), second.gateway.stop()])
    await runner.close()
  })
  return { first, second, runner }
}

async function metricOf ({ peerAddress }: TestHost, name: string): Promise<string[]> {
  const text = await (await fetch(`http://${peerAddress}/metrics`)).text()
  return text.split('\n').filter((line) => line.startsWith(name))
}

t.test('callers of a host without direct paths get whole answers, plain and streamed', async (t) => {
  const { first, second, runner } = await startTwo(t)
  const ids = Array.from({ length: 40 }, (_, index) => `request-${index}`)
  const replies = await Promise.all(ids.map((id, index) => call(first, index % 2 === 0 ? '/plain/' : '/stream/', id)))
  for (const [index, reply] of replies.entries()) {
    t.equal(reply.status, 200)
    t.ok(reply.whole)
    t.equal(reply.body, index % 2 === 0 ? ids[index] : [1, 2, 3, 4, 5].map((id) => `id: ${id}\ndata: ${ids[index]}\n\n`).join(''))
  }
  t.equal(runner.requests.length, 40)
  t.match((await metricOf(first, 'figloom_gateway_passed_on_total')).join(), /outcome="complete".* 40/)
  t.match((await metricOf(second, 'figloom_gateway_served_for_hosts_total')).join(), /outcome="complete".* 40/)
})

t.test('a host that stops completes the answers that it passes on', async (t) => {
  const { first, second, runner } = await startTwo(t)
  const replies = Array.from({ length: 10 }, (_, index) => call(first, '/stream/', `request-${index}`))
  while (runner.requests.length < replies.length) await new Promise((resolve) => setTimeout(resolve, 5))
  const stopped = second.gateway.stop()
  for (const reply of await Promise.all(replies)) {
    t.equal(reply.status, 200)
    t.ok(reply.whole)
  }
  t.equal((await call(first, '/plain/', 'late')).status, 503)
  await stopped
})
