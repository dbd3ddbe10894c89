/**
 * Runners fail part of the bookings that they have run, and say so with 429 or 408 and their signature, without X-Not-Executed. To a
 * client these statuses promise that the booking has not run, so it books again.
 */
import { runCase, hasTrouble } from '../lib/case.mjs'
import { newId, send } from '../lib/client.mjs'
import { Deployment, HOST_NAME } from '../lib/deployment.mjs'
import { Runner } from '../lib/runner.mjs'

const BOOKINGS = 40
/** One booking in this many fails after it has run. */
const FAILED_ONE_IN = 3
const FAILURE_STATUSES = [429, 408]
const WORK_MS = 40
const DEADLINE_MS = 2_500
/** Statuses that promise that a request has not run and never will. */
const PROMISES = [408, 421, 429, 503]

const routes = [{ name: 'plan-topup', host: HOST_NAME, pathPrefix: '/topup/', routeType: 'non_idempotent', service: 'plans', timeoutMs: DEADLINE_MS, targetLatencyMs: 193, priority: 1, attempts: 1 }]
const services = [{ name: 'plans', maxConnections: 96 }]

/** How often each booking was run, by what it books. */
const runsOf = new Map()

function book ({ id, body, response, runner }) {
  const { topup } = JSON.parse(body)
  const runCount = (runsOf.get(topup) ?? 0) + 1
  runsOf.set(topup, runCount)
  const fails = hasTrouble && runCount === 1 && topup % FAILED_ONE_IN === 0
  const status = fails ? FAILURE_STATUSES[topup / FAILED_ONE_IN % FAILURE_STATUSES.length] : 200
  setTimeout(() => response.writeHead(status, { 'Content-Type': 'application/json', ...runner.signed(id) }).end(JSON.stringify({ topup })), WORK_MS)
}

/** A client attempt, and another one if the first is answered with a promise, as clients do. */
async function topUp (host, topup, record) {
  const attempts = []
  for (let attempt = 1; attempt <= 2; attempt += 1) {
    const answer = await send({ address: host.address, path: '/topup/1', id: newId(`topup${topup}`), body: Buffer.from(JSON.stringify({ topup })), deadlineMs: DEADLINE_MS }).done
    record.write(`top-up ${topup}, client attempt ${attempt} with id ${answer.id}: status ${answer.status}`)
    attempts.push(answer)
    if (!PROMISES.includes(answer.status)) break
  }
  return attempts
}

await runCase(import.meta.url, async ({ record, onStop }) => {
  const deployment = await Deployment.start({ record, hostCount: 3, routes, services })
  onStop(() => deployment.stop())
  const runners = []
  for (const index of [0, 1, 2]) {
    const runner = await Runner.start({ ip: deployment.runnerIp(index), id: `i-plans${index}`, service: 'plans', slots: 6, handle: book, record })
    deployment.list(runner)
    runners.push(runner)
  }
  await deployment.startHosts()
  const attempts = []
  for (let topup = 1; topup <= BOOKINGS; topup += 1) attempts.push(...await topUp(deployment.hosts[topup % 3], topup, record))
  const ran = new Set(runners.flatMap(({ runs }) => runs))
  for (const [topup, count] of runsOf) if (count > 1) record.write(`top-up ${topup} was run ${count} times`)
  // REFUSED: a request that isn't idempotent is answered 429 or 503 (or 408, 421) and has run.
  return attempts.filter(({ id, status }) => PROMISES.includes(status) && ran.has(id)).map(({ id, status }) => `${id} is answered ${status}, and has run`)
})
