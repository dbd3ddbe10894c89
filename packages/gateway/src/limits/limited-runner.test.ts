import t, { type Test } from 'tap'
import { request } from 'undici'
import { configure, startHost, type TestHost } from '../testing/gateway-host.js'
import { RawRunner, type RawExchange } from '../testing/raw-runner.js'

/** Hosts have to hold to a limit this long after it was first named. */
const CONTACT_MS = 3_000
const WINDOW_MS = 4_000
const HOST_COUNT = 3

/** Requests that may reach the runner in one window: the limit, and what hosts that learn of it late may add. */
function allowed (limitPerS: number): number {
  return 1.5 * limitPerS * WINDOW_MS / 1_000 + 5
}

/** Answers at once; `limit` gives the limit that is named now. */
function answerWith (limit: () => number | undefined): (exchange: RawExchange) => void {
  return ({ requestId, socket }) => {
    const limitPerS = limit()
    const named = limitPerS === undefined ? '' : `Limit-Per-S: ${limitPerS}\r\n`
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\n${named}Content-Length: 2\r\n\r\nok`)
  }
}

type Answer = { atMs: number, status: number, retryAfterS: number }

async function startHosts (t: Test, runners: readonly RawRunner[]): Promise<TestHost[]> {
  const first = await startHost()
  const others = await Promise.all(Array.from({ length: HOST_COUNT - 1 }, () => startHost([first.peers])))
  const hosts = [first, ...others]
  t.teardown(async () => {
    await Promise.all([...hosts.map(({ gateway }) => gateway.stop()), ...runners.map((runner) => runner.close())])
  })
  for (const host of hosts) configure(host, runners)
  await new Promise((resolve) => setTimeout(resolve, 1_500))
  return hosts
}

async function call ({ callers }: TestHost, id: string): Promise<Answer> {
  const { statusCode, headers, body } = await request(`http://${callers}/plain/1`, { headers: { host: 'test', 'request-id': id } })
  await body.dump()
  return { atMs: performance.now(), status: statusCode, retryAfterS: Number(headers['retry-after'] ?? NaN) }
}

/** Every host is asked at this pace, for this long. */
async function offer (hosts: readonly TestHost[], perHostPerS: number, durationMs: number): Promise<Answer[]> {
  const answers: Promise<Answer>[] = []
  const endMs = performance.now() + durationMs
  while (performance.now() < endMs) {
    for (const [index, host] of hosts.entries()) answers.push(call(host, `r-${index}-${answers.length}`))
    await new Promise((resolve) => setTimeout(resolve, 1_000 / perHostPerS))
  }
  return await Promise.all(answers)
}

t.test('a runner gets no more than the limit that it names from all hosts together', async (t) => {
  const runner = await RawRunner.create(answerWith(() => 2))
  const hosts = await startHosts(t, [runner])
  const startMs = performance.now()
  const answers = await offer(hosts, 10, 9_000)
  const most = runner.mostWithin(WINDOW_MS, startMs + CONTACT_MS)
  t.ok(most <= allowed(2), `${most} of at most ${allowed(2)}`)
  const later = runner.arrivalsMs.filter((atMs) => atMs > startMs + 5_000).length
  t.ok(later >= 4, `it is used: ${later} in the last four seconds`)
  const refused = answers.filter(({ status }) => status === 503)
  t.ok(refused.every(({ retryAfterS }) => retryAfterS > 0), 'callers are told when to come back')
  t.ok(answers.every(({ status }) => status === 200 || status === 503))
})
