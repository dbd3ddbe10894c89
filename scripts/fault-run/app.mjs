/** One run: processes, load, faults, and the report. */
import { Callers } from './callers.mjs'
import { FaultCluster } from './cluster.mjs'
import { Faults } from './faults.mjs'
import { getJson, sleep } from './http.mjs'
import { createRandom } from './random.mjs'
import { RunRecord, summarize } from './record.mjs'
import { Watch } from './monitor.mjs'

const REST_MS = 15_000
const REQUESTS_PER_SECOND = 40
const SETTLE_MS = 12_000
const DRAIN_LIMIT_MS = 30_000
const MS_PER_MINUTE = 60_000

/** Runs for `seconds` under load and faults; answers the report. */
export async function runFaults ({ seed, seconds, log }) {
  const cluster = await FaultCluster.create({ log })
  const stopNow = () => cluster.stop().then(() => process.exit(1))
  process.once('SIGINT', stopNow)
  process.once('SIGTERM', stopNow)
  try {
    return await runOn(cluster, seed, seconds)
  } finally {
    await cluster.stop()
  }
}

async function runOn (cluster, seed, seconds) {
  const record = RunRecord.create(seed)
  await sleep(SETTLE_MS)
  const atRest = await measureLog(cluster, () => sleep(REST_MS))
  const watch = new Watch(cluster, record)
  const callers = new Callers(cluster, record, createRandom(seed * 2 + 1))
  const faults = new Faults(cluster, record, watch, createRandom(seed * 2))
  callers.onBroken = (outcome) => {
    if (outcome.kind === 'streamed' && faults.shutdown !== undefined) record.break(7, { during: faults.shutdown.host, ...outcome })
  }
  watch.start()
  const endMs = performance.now() + seconds * 1000
  const underChange = await measureLog(cluster, async () => {
    await Promise.all([sendUntil(callers, endMs), faults.run(endMs - SETTLE_MS)])
  })
  for (let waitedMs = 0; callers.inFlight > 0 && waitedMs < DRAIN_LIMIT_MS; waitedMs += 100) await sleep(100)
  await watch.stop()
  await checkRuns(cluster, record, watch, callers)
  return report({ cluster, record, callers, seconds, atRest, underChange })
}

async function sendUntil (callers, endMs) {
  while (performance.now() < endMs) {
    callers.sendOne().catch((error) => console.error('caller', error))
    await sleep(1000 / REQUESTS_PER_SECOND)
  }
}

/** Appends and bytes of the log per host and minute while `act` runs. */
async function measureLog (cluster, act) {
  const read = () => getJson(`${cluster.urls.log}/stats`, 5000)
  const [before, startMs] = [await read(), performance.now()]
  await act()
  const [after, tookMs] = [await read(), performance.now() - startMs]
  const share = MS_PER_MINUTE / tookMs / cluster.hosts.length
  return {
    seconds: Math.round(tookMs / 1000),
    appendsPerHostMinute: Math.round((after.appendCount - before.appendCount) * share),
    bytesPerHostMinute: Math.round((after.appendedBytes - before.appendedBytes) * share)
  }
}

/** Compares what callers were told with what engines and the service counted. */
async function checkRuns (cluster, record, watch, callers) {
  await Promise.all(cluster.engines.map((engine) => watch.readStats(engine)))
  for (const [attempt, runs] of watch.runs) {
    const told = callers.notRun.get(attempt.replace(/-\d+$/, ''))
    if (told !== undefined) record.break(4, { attempt, runs, ...told })
  }
  const service = await getJson(`${cluster.urls.booking}/stats`, 5000)
  for (const [key, runs] of Object.entries(service.runs)) {
    if (runs > 1) record.break(5, { key, runs, told: callers.keys.get(key) })
    const told = callers.keys.get(key) ?? []
    if (told.length > 0 && told.every((ran) => ran === 'no')) record.break(4, { key, runs, told })
  }
  for (const [key, told] of callers.keys) {
    if (told.includes('answered') && service.runs[key] === undefined) record.break(3, { key, told, runs: 0 })
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
