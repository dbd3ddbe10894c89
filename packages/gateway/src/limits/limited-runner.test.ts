import t, { type Test } from 'tap'
import { request } from 'undici'
import { configure, startHost, type TestHost } from '../testing/gateway-host.js'
import { RawRunner, type RawExchange } from '../testing/raw-runner.js'

/** Hosts have to respect a limit from this long after it was first named. */
const CONTACT_MS = 3_000
const WINDOW_MS = 4_000
const HOST_COUNT = 3

/** Requests that may reach the runner in one window: the limit, and the excess of hosts that learn of it late. */
function maxAllowedPerWindow (limitPerS: number): number {
  return 1.5 * limitPerS * WINDOW_MS / 1_000 + 5
}

/** Answers at once; `limit` returns the limit to name in the answer. */
function answerNaming (limit: () => number | undefined): (exchange: RawExchange) => void {
  return ({ requestId, socket }) => {
    const limitPerS = limit()
    const header = limitPerS === undefined ? '' : `Limit-Per-S: ${limitPerS}\r\n`
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\n${header}Content-Length: 2\r\n\r\nok`)
  }
}

type Answer = { atMs: number, status: number, retryAfterS: number }

async function startHosts (t: Test, runners: readonly RawRunner[]): Promise<TestHost[]> {
  const first = await startHost()
  const others = await Promise.all(Array.from({ length: HOST_COUNT - 1 }, () => startHost([first.peerAddress])))
  const hosts = [first, ...others]
  t.teardown(async () => {
    await Promise.all([...hosts.map(({ gateway }) => gateway.stop()), ...runners.map((runner) => runner.close())])
  })
  for (const host of hosts) configure(host, runners)
  await new Promise((resolve) => setTimeout(resolve, 1_500))
  return hosts
}

async function call ({ callerAddress }: TestHost, id: string): Promise<Answer> {
  const { statusCode, headers, body } = await request(`http://${callerAddress}/plain/1`, { headers: { host: 'test', 'request-id': id } })
  await body.dump()
  return { atMs: performance.now(), status: statusCode, retryAfterS: Number(headers['retry-after'] ?? NaN) }
}

/** Sends requests to every host at this rate, for this long. */
async function sendRequests (hosts: readonly TestHost[], perHostPerS: number, durationMs: number): Promise<Answer[]> {
  const answers: Promise<Answer>[] = []
  const endMs = performance.now() + durationMs
  while (performance.now() < endMs) {
    for (const [index, host] of hosts.entries()) answers.push(call(host, `r-${index}-${answers.length}`))
    await new Promise((resolve) => setTimeout(resolve, 1_000 / perHostPerS))
  }
  return await Promise.all(answers)
}

t.test('all hosts together send a runner no more than the limit that it names', async (t) => {
  const runner = await RawRunner.create(answerNaming(() => 2))
  const hosts = await startHosts(t, [runner])
  const startMs = performance.now()
  const answers = await sendRequests(hosts, 10, 9_000)
  const observed = runner.maxRequestsWithin(WINDOW_MS, startMs + CONTACT_MS)
  t.ok(observed <= maxAllowedPerWindow(2), `${observed} of at most ${maxAllowedPerWindow(2)}`)
  const later = runner.arrivalsMs.filter((atMs) => atMs > startMs + 5_000).length
  t.ok(later >= 4, `the limit is used: ${later} requests in the last four seconds`)
  const refused = answers.filter(({ status }) => status === 503)
  t.ok(refused.every(({ retryAfterS }) => retryAfterS > 0), 'refusals carry a retry-after')
  t.ok(answers.every(({ status }) => status === 200 || status === 503))
})
