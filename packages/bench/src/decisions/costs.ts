/** Measures the processor time of routing decisions and placement plans by problem size. */
import { planCell, type PlanInput } from '@figloom/placement'
import { chooseRunner, RouteDecider, type Candidate, type RouteRequest, type RunnerInfo } from '@figloom/routing'
import { CopyState, OrderAction, Priority, RunnerRole, type ModelCopy, type ModelRoute, type PoolModel, type RunnerView } from '@figloom/tables'
import { createRandom } from './random.js'

export type Cost = { what: string, size: number, medianUs: number }

const RUNNER_COUNTS = [12, 48, 64, 192, 768]
const MODEL_COUNTS = [24, 96, 384, 730]
const COPIES_PER_MODEL = 3
const BATCH_COUNT = 31
const CELL_RUNNERS = 64
const MIB_PER_GIB = 1024

export function measureCosts (): Cost[] {
  return [
    ...RUNNER_COUNTS.map((size) => ({ what: 'choice of a runner, candidates', size, medianUs: measureChoice(size) })),
    ...RUNNER_COUNTS.map((size) => ({ what: 'whole decision, runners of the cell, 3 copies', size, medianUs: measureDecision(size) })),
    ...MODEL_COUNTS.map((size) => ({ what: 'plan from nothing, 64 runners, models', size, medianUs: measurePlan(size, false) })),
    ...MODEL_COUNTS.map((size) => ({ what: 'plan of a settled cell under demand, 64 runners, models', size, medianUs: measurePlan(size, true) }))
  ]
}

/** Median over batches of the time of one run, in microseconds. */
function measureMedianUs (runs: number, run: () => void): number {
  run()
  const times = Array.from({ length: BATCH_COUNT }, () => {
    const startedMs = performance.now()
    for (let count = 0; count < runs; count++) run()
    return (performance.now() - startedMs) * 1000 / runs
  })
  return times.sort((a, b) => a - b)[BATCH_COUNT >> 1] ?? 0
}

function requestOf (id: string, model = 'm0'): RouteRequest {
  const target = { model, version: '1' }
  return { id, route: 'r', target, priority: Priority.Interactive, deadlineMs: 1e12, betweenTokensTargetMs: 43, promptTokens: 700, prefixHashes: ['a', 'b', 'c', 'd'], idempotent: true }
}

function measureChoice (size: number): number {
  const random = createRandom(1)
  const candidates: Candidate[] = Array.from({ length: size }, (_, index) => ({
    runner: `r${index}`,
    availabilityZone: 'a',
    resident: true,
    healthy: true,
    draining: false,
    load: Math.floor(random() * 40),
    limit: 64,
    copyLoad: 10,
    copyLimit: 32,
    pendingTokens: random() * 3000,
    prefillMsPerToken: 0.05,
    stepMs: 10 + random() * 10,
    roundTripMs: 1,
    cachedTokens: random() * 300
  }))
  const request = requestOf('q')
  return measureMedianUs(200, () => chooseRunner(candidates, request, random))
}

function measureDecision (size: number): number {
  const decider = RouteDecider.create({ random: createRandom(1), nowMs: 0 })
  const infos: RunnerInfo[] = Array.from({ length: size }, (_, index) => {
    const copies = Array.from({ length: COPIES_PER_MODEL }, (_, copy) => ({ model: `m${(index + copy) % size}`, version: '1', adapters: [] }))
    return { name: `r${index}`, availabilityZone: `z${index % 3}`, draining: false, copies }
  })
  decider.setRunners(infos)
  let count = 0
  return measureMedianUs(200, () => {
    const request = requestOf(`q${count}`, `m${count++ % size}`)
    const decision = decider.decide(request, count)
    if (decision.kind !== 'send') return
    decider.onSent(request, decision, count)
    decider.onFirstToken(request.id, count + 1)
    decider.onDone(request.id, 100, count + 2)
  })
}

function measurePlan (size: number, settled: boolean): number {
  const random = createRandom(size)
  const models: PoolModel[] = Array.from({ length: size }, (_, index) => ({ name: `m${index}`, version: '1', weightsMiB: (size > 400 ? 4 : 8) * MIB_PER_GIB, kvReserveMiB: 2 * MIB_PER_GIB, adapters: [] }))
  const routes = models.map((model): ModelRoute => ({ kind: 'model', name: model.name, model: model.name, version: '1', pool: 'p', firstTokenTargetMs: 380, betweenTokensTargetMs: 43, priority: Priority.Interactive }))
  const demand = models.map(({ name }) => {
    const rate = random() * 4 * CELL_RUNNERS / size * 30
    return { model: name, version: '1', requestsPerS: rate, forecastPerS: rate, recentPeakPerS: rate, runnerMsPerRequest: 15 }
  })
  const runners: RunnerView[] = Array.from({ length: CELL_RUNNERS }, (_, index) => (
    { name: `r${index}`, availabilityZone: `z${index % 3}`, memoryMiB: 160 * MIB_PER_GIB, freeMiB: 160 * MIB_PER_GIB, healthy: true, draining: false, role: RunnerRole.Both, copies: [] }))
  const pool = { name: 'p', region: 'x', moveWeight: 0.2, runners: [], models }
  const input: PlanInput = { pool, routes, runners, demand, budgets: { loads: 1e6, adapterLoads: 1e6 }, recentChanges: [], nowMs: 0 }
  if (settled) applyFirstPlans(input, models)
  return measureMedianUs(1, () => planCell(input))
}

/** Applies the first plans instantly, with no demand, so that the cell starts with its copies in place. */
function applyFirstPlans (input: PlanInput, models: readonly PoolModel[]): void {
  for (let round = 0; round < 3; round++) {
    for (const step of planCell({ ...input, demand: [] })) {
      const runner = input.runners.find(({ name }) => name === step.runner)
      const model = models.find(({ name }) => name === step.model)
      if (step.action !== OrderAction.Load || runner === undefined || model === undefined) continue
      const copy: ModelCopy = { model: model.name, version: '1', weightsMiB: model.weightsMiB, kvReserveMiB: model.kvReserveMiB, state: CopyState.Resident, adapters: [], unsettled: false }
      runner.copies.push(copy)
      runner.freeMiB -= step.addsMiB
    }
  }
}
