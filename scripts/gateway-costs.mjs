/**
 * Replays changing demand against the planner of model loads, and measures the cost of planning and of a request's log lines.
 * `node scripts/gateway-costs.mjs [--seeds 16]` after `npm run build`; prints JSON.
 */
import { parseArgs } from 'node:util'
import { BoundedWriter, createLogger, silentLogger, SystemClock } from '@figloom/runtime'
import { planModels } from '../packages/gateway/dist/orders/plan-models.js'
import { replayPlacement } from '../packages/gateway/dist/orders/testing/placement-replay.js'
import { RequestLog } from '../packages/gateway/dist/serve/request-log.js'

const { values } = parseArgs({ options: { seeds: { type: 'string', default: '16' } } })
const seeds = Array.from({ length: Number(values.seeds) }, (_, index) => index + 1)

const base = { models: 34, runners: 13, resident: 3, slots: 32, loadMs: 9000, diskLoadMs: 2400, loadsPerS: 2.1, holdMs: 2200, lengthMs: 34000, rarePerS: 4, shiftLengthMs: 6000 }
const SCENARIOS = {
  quiet: { ...base, busyPerS: 45, shiftsMs: [1000, 20200, 24200], shiftLengthMs: 4500 },
  trouble: { ...base, busyPerS: 65, shiftsMs: [1000, 17000, 24000] },
  scale: { ...base, busyPerS: 85, shiftsMs: [1000, 14000, 24000] },
  'more places': { ...base, models: 21, slots: 48, loadMs: 7000, busyPerS: 75, shiftsMs: [1000, 14000, 24000] }
}
const PLANNERS = { present: planModels, 'no orders': () => [] }

function replay (scenario, planner) {
  const results = seeds.map((seed) => replayPlacement({ ...scenario, seed }, planner))
  const mean = (field) => Number((results.reduce((sum, result) => sum + result[field], 0) / results.length).toFixed(3))
  return { servedShare: mean('servedShare'), lateShare: mean('lateShare'), neverServed: mean('neverServed'), loads: mean('loads') }
}

/** Plans a cell with evenly spread copies and demand inversely proportional to the rank of a model; half of the runners are loading. */
function measurePlanMs (runnerCount, modelCount, resident) {
  const name = (index) => `model-${index % modelCount}`
  const models = new Map(Array.from({ length: modelCount }, (_, index) => [name(index), { name: name(index), sizeMb: 70, loadMs: 9000, diskLoadMs: 2400, adapters: [], adapterSizeMb: 1 }]))
  const engine = { slots: 32, memoryTokens: 1, weightsMb: resident * 70, adapterSlots: 8, loadsPerS: 2, models }
  const runners = Array.from({ length: runnerCount }, (_, index) => {
    const held = Array.from({ length: resident }, (__, copy) => name(index * resident + copy))
    const busy = index % 2 === 0
    return { id: `runner-${index}`, models: held, busy, loading: busy ? name(index * 7) : undefined, usedMb: resident * 70, localWeights: held }
  })
  const demand = new Map(Array.from({ length: modelCount }, (_, index) => [name(index), { currentSlots: 200 / (index + 1), forecastSlots: 200 / (index + 1) }]))
  const rounds = 50
  const startMs = performance.now()
  for (let round = 0; round < rounds; round += 1) planModels({ engine, runners, demand, missingMs: new Map(), storeLoads: 2 })
  return Number(((performance.now() - startMs) / rounds).toFixed(2))
}

function writeRequestLines (log, clock, id, failed) {
  const requestLog = RequestLog.create(log, clock, id)
  requestLog.note('request accepted', { route: 'r-1', kind: 'stream', service: 's', model: 'm', adapter: 'a1', configVersion: 3, timeLeftMs: 12000 })
  requestLog.note('sent to a runner', { runner: 'i-1234567890', sending: 1, inFlight: 4, slots: 32, resumedAfter: undefined })
  requestLog.note('attempt ended', { runner: 'i-1234567890', outcome: 'answered', reason: 'stream complete', status: 200, tookMs: 900, next: 'finish' })
  requestLog.note('request answered', { route: 'r-1', result: 'answered', reason: 'stream complete', sendings: 1, runs: 1, totalMs: 900, firstByteMs: 80 })
  requestLog.end(failed)
}

function measureLogCost (createLog, failed) {
  const clock = SystemClock.create()
  const written = { bytes: 0 }
  const log = createLog(clock, written)
  const requests = 50_000
  const id = (index) => (index * 2654435761 >>> 0).toString(16)
  for (let index = 0; index < requests / 5; index += 1) writeRequestLines(log, clock, id(index), failed)
  written.bytes = 0
  const before = process.cpuUsage()
  for (let index = 0; index < requests; index += 1) writeRequestLines(log, clock, id(index), failed)
  const { user, system } = process.cpuUsage(before)
  return { processorUsPerRequest: Number(((user + system) / requests).toFixed(2)), bytesPerRequest: Math.round(written.bytes / requests) }
}

const CONTEXT = { program: 'figloom-gateway', host: 'host-1', availabilityZone: 'zone-1' }
const unbounded = (clock, written) => createLogger(CONTEXT, clock, { write: (line) => { written.bytes += line.length } })
const bounded = (clock, written) => {
  const output = { writable: true, writableLength: 0, on: () => output, once: () => output, write: (text) => { written.bytes += text.length; return true } }
  const writer = BoundedWriter.create(output, clock)
  return createLogger(CONTEXT, clock, { write: (line) => writer.write(line) })
}

console.log(JSON.stringify({
  replay: Object.fromEntries(Object.entries(SCENARIOS).map(([name, scenario]) => [name, Object.fromEntries(Object.entries(PLANNERS).map(([planner, plan]) => [planner, replay(scenario, plan)]))])),
  planMs: { '13 runners, 34 models': measurePlanMs(13, 34, 3), '63 runners, 166 models': measurePlanMs(63, 166, 4) },
  log: {
    'without lines': measureLogCost(() => silentLogger, false),
    'answered, one in 64 written': measureLogCost(unbounded, false),
    'failed, all written': measureLogCost(unbounded, true),
    'failed, beyond the rate': measureLogCost(bounded, true)
  }
}, null, 2))
process.exit()
