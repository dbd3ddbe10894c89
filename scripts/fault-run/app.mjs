/** One run: starts the processes, sends load, injects faults and builds the report. */
import { Callers } from './callers.mjs'
import { FaultCluster } from './cluster.mjs'
import { Faults } from './faults.mjs'
import { getJson, sleep } from './http.mjs'
import { createRandom } from './random.mjs'
import { RunRecord, summarize } from './record.mjs'
import { PromiseMonitor } from './monitor.mjs'

const IDLE_MS = 15_000
const REQUESTS_PER_SECOND = 40
const SETTLE_MS = 12_000
const DRAIN_TIMEOUT_MS = 30_000
const MS_PER_MINUTE = 60_000

/** Runs for `seconds` under load and faults; returns the report. */
export async function runFaults ({ seed, seconds, log }) {
  const cluster = await FaultCluster.create({ log })
  const stopOnSignal = () => cluster.stop().then(() => process.exit(1))
  process.once('SIGINT', stopOnSignal)
  process.once('SIGTERM', stopOnSignal)
  try {
    return await runOn(cluster, seed, seconds)
  } finally {
    await cluster.stop()
  }
}

async function runOn (cluster, seed, seconds) {
  const record = RunRecord.create(seed)
  await sleep(SETTLE_MS)
  const atRest = await measureLog(cluster, () => sleep(IDLE_MS))
  const monitor = new PromiseMonitor(cluster, record)
  const callers = new Callers(cluster, record, createRandom(seed * 2 + 1))
  const faults = new Faults(cluster, record, monitor, createRandom(seed * 2))
  callers.onIncomplete = (outcome) => {
    if (outcome.kind === 'streamed' && faults.shutdown !== undefined) record.recordViolation(7, { during: faults.shutdown.host, ...outcome })
  }
  monitor.start()
  const endMs = performance.now() + seconds * 1000
  const underChange = await measureLog(cluster, async () => {
    await Promise.all([sendUntil(callers, endMs), faults.run(endMs - SETTLE_MS)])
  })
  for (let waitedMs = 0; callers.inFlight > 0 && waitedMs < DRAIN_TIMEOUT_MS; waitedMs += 100) await sleep(100)
  await monitor.stop()
  await checkExecutions(cluster, record, monitor, callers)
  return report({ cluster, record, callers, seconds, atRest, underChange })
}

async function sendUntil (callers, endMs) {
  while (performance.now() < endMs) {
    callers.sendOne().catch((error) => console.error('caller', error))
    await sleep(1000 / REQUESTS_PER_SECOND)
  }
}

/** Measures the appends and bytes of the log per host and minute while `work` runs. */
async function measureLog (cluster, work) {
  const read = () => getJson(`${cluster.urls.log}/stats`, 5000)
  const [before, startMs] = [await read(), performance.now()]
  await work()
  const [after, elapsedMs] = [await read(), performance.now() - startMs]
  const perHostMinute = MS_PER_MINUTE / elapsedMs / cluster.hosts.length
  return {
    seconds: Math.round(elapsedMs / 1000),
    appendsPerHostMinute: Math.round((after.appendCount - before.appendCount) * perHostMinute),
    bytesPerHostMinute: Math.round((after.appendedBytes - before.appendedBytes) * perHostMinute)
  }
}

/** Compares the results that callers received with the executions that the engines and the service counted. */
async function checkExecutions (cluster, record, monitor, callers) {
  await Promise.all(cluster.engines.map((engine) => monitor.readStats(engine)))
  for (const [attempt, runs] of monitor.runs) {
    const reported = callers.notRun.get(attempt.replace(/-\d+$/, ''))
    if (reported !== undefined) record.recordViolation(4, { attempt, runs, ...reported })
  }
  const serviceStats = await getJson(`${cluster.urls.booking}/stats`, 5000)
  for (const [key, runs] of Object.entries(serviceStats.runs)) {
    if (runs > 1) record.recordViolation(5, { key, runs, told: callers.keys.get(key) })
    const reported = callers.keys.get(key) ?? []
    if (reported.length > 0 && reported.every((ran) => ran === 'no')) record.recordViolation(4, { key, runs, told: reported })
  }
  for (const [key, reported] of callers.keys) {
    if (reported.includes('answered') && serviceStats.runs[key] === undefined) record.recordViolation(3, { key, told: reported, runs: 0 })
  }
}

function report ({ cluster, record, callers, seconds, atRest, underChange }) {
  const total = (group) => Object.values(group).reduce((sum, count) => sum + count, 0)
  return {
    seed: record.seed,
    seconds,
    hosts: cluster.hosts.length,
    engines: cluster.engines.map(({ name, checksFencing }) => ({ name, checksFencing })),
    broken: record.broken,
    brokenTotal: total(record.broken),
    requestsSent: total(record.requests),
    requests: record.requests,
    answers: record.answers,
    errors: record.errors,
    unansweredAtEnd: callers.inFlight,
    keys: callers.keys.size,
    publications: record.publications,
    faults: countBy(record.events.map(({ kind }) => kind)),
    unreachableMs: record.unreachableMs,
    takeoverMs: summarize(record.takeoverMs),
    inForceMs: Object.fromEntries(Object.entries(record.inForceMs).map(([host, times]) => [host, summarize(times)])),
    log: { atRest, underChange }
  }
}

function countBy (names) {
  const counts = {}
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1
  return counts
}
