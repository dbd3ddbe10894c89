import t from 'tap'
import fc from 'fast-check'
import {
  CopyState, OrderAction, Priority, RunnerRole,
  type CellStep, type ModelCopy, type ModelRoute, type PoolModel, type RunnerView
} from '@figloom/tables'
import type { CopyChange, ModelDemand, PlanInput } from '../types.js'
import { planCell } from './plan-cell.js'

type Cell = { models: PoolModel[], runners: RunnerView[], rates: number[], moveWeight: number }

const ROUNDS = 80
const ROUND_MS = 10_000

const modelArbitrary = fc.record({ weightsMiB: fc.integer({ min: 1, max: 6 }), adapterMiB: fc.integer({ min: 0, max: 1 }), rate: fc.integer({ min: 0, max: 120 }) })
const cellArbitrary: fc.Arbitrary<Cell> = fc.record({
  models: fc.array(modelArbitrary, { minLength: 1, maxLength: 10 }),
  memory: fc.array(fc.integer({ min: 8, max: 24 }), { minLength: 2, maxLength: 6 }),
  moveWeight: fc.constantFrom(0, 0.2, 0.8)
}).map(({ models, memory, moveWeight }) => ({
  models: models.map(({ weightsMiB, adapterMiB }, index) => modelOf(`m${index}`, weightsMiB, adapterMiB)),
  runners: memory.map((memoryMiB, index) => runnerOf(`r${index}`, memoryMiB, `zone-${index % 3}`)),
  rates: models.map(({ rate }) => rate),
  moveWeight
}))

function modelOf (name: string, weightsMiB: number, adapterMiB = 0): PoolModel {
  return { name, version: '1', weightsMiB, kvReserveMiB: 1, adapters: adapterMiB > 0 ? [{ name: 'a', sizeMiB: adapterMiB }] : [] }
}

function runnerOf (name: string, memoryMiB: number, availabilityZone: string, copies: ModelCopy[] = []): RunnerView {
  return { name, availabilityZone, memoryMiB, freeMiB: memoryMiB - usedMiB(copies), healthy: true, draining: false, role: RunnerRole.Both, copies }
}

function copyOf (model: PoolModel, state: ModelCopy['state'] = CopyState.Resident): ModelCopy {
  const adapters = model.adapters.map((adapter) => ({ ...adapter, state: CopyState.Resident }))
  return { model: model.name, version: model.version, weightsMiB: model.weightsMiB, kvReserveMiB: model.kvReserveMiB, state, adapters, unsettled: false }
}

function usedMiB (copies: readonly ModelCopy[]): number {
  return copies.reduce((sum, copy) => sum + copy.weightsMiB + copy.kvReserveMiB + copy.adapters.reduce((part, { sizeMiB }) => part + sizeMiB, 0), 0)
}

function inputOf (cell: Cell, recentChanges: CopyChange[] = [], nowMs = 0): PlanInput {
  const routes: ModelRoute[] = cell.models.map((model) => ({
    kind: 'model',
    name: model.name,
    model: model.name,
    version: '1',
    adapter: model.adapters[0]?.name,
    pool: 'p',
    firstTokenTargetMs: 380,
    betweenTokensTargetMs: 43,
    priority: Priority.Interactive
  }))
  const demand: ModelDemand[] = cell.models.map(({ name }, index) => {
    const rate = cell.rates[index] ?? 0
    return { model: name, version: '1', requestsPerS: rate, forecastPerS: rate, recentPeakPerS: rate, runnerMsPerRequest: 10 }
  })
  const pool = { name: 'p', region: 'x', moveWeight: cell.moveWeight, runners: [], models: cell.models }
  return { pool, routes, runners: cell.runners, demand, budgets: { loads: 2, adapterLoads: 10 }, recentChanges, nowMs }
}

function servingCount (cell: Cell, model: PoolModel): number {
  return cell.runners.filter((runner) => runner.healthy && !runner.draining && runner.copies.some((copy) => copy.model === model.name &&
    copy.state === CopyState.Resident && !copy.unsettled && copy.adapters.length === model.adapters.length)).length
}

/** Applies steps at once. Throws if a step exceeds the free memory or a served model loses its last serving copy. */
function apply (cell: Cell, steps: readonly CellStep[]): void {
  const before = cell.models.map((model) => servingCount(cell, model))
  for (const step of steps) {
    const runner = cell.runners.find(({ name }) => name === step.runner) as RunnerView
    const model = cell.models.find(({ name }) => name === step.model) as PoolModel
    if (step.addsMiB > runner.freeMiB) throw new Error(`${step.action} of ${step.addsMiB} exceeds ${runner.freeMiB}`)
    runner.freeMiB -= step.addsMiB
    if (step.action === OrderAction.Load) runner.copies.push({ ...copyOf(model), adapters: [] })
    if (step.action === OrderAction.LoadAdapter) runner.copies.find((copy) => copy.model === step.model)?.adapters.push({ name: 'a', sizeMiB: step.addsMiB, state: CopyState.Resident })
    if (step.action === OrderAction.Unload) runner.copies = runner.copies.filter((copy) => copy.model !== step.model)
  }
  cell.models.forEach((model, index) => {
    if ((before[index] ?? 0) > 0 && servingCount(cell, model) === 0) throw new Error(`no copy of ${model.name} serves`)
  })
  for (const runner of cell.runners) runner.freeMiB = runner.memoryMiB - usedMiB(runner.copies)
}

/** Plans and applies until a plan has no steps; returns the number of rounds with steps. */
function run (cell: Cell): number {
  const changes = new Map<string, CopyChange>()
  for (let round = 0; round < ROUNDS; round++) {
    const nowMs = round * ROUND_MS
    const steps = planCell(inputOf(cell, [...changes.values()], nowMs))
    if (steps.length === 0) return round
    apply(cell, steps)
    for (const { runner, model, version } of steps) changes.set(`${runner} ${model}`, { runner, model, version, atMs: nowMs })
  }
  return ROUNDS
}

t.test('never exceeds memory or unloads a last copy, and converges at constant demand', async (t) => {
  t.doesNotThrow(() => fc.assert(fc.property(cellArbitrary, (cell) => run(cell) < ROUNDS), { seed: 4, numRuns: 300 }))
})

t.test('never exceeds memory or unloads a last copy while demand changes', async (t) => {
  t.doesNotThrow(() => fc.assert(fc.property(cellArbitrary, fc.array(fc.integer({ min: 0, max: 120 }), { minLength: 10, maxLength: 10 }), (cell, rates) => {
    run(cell)
    run({ ...cell, rates })
  }), { seed: 5, numRuns: 200 }))
})

t.test('frees memory for a model without a copy, but never unloads a last copy', async (t) => {
  const [a, b, c] = [modelOf('a', 4), modelOf('b', 4), modelOf('c', 4)]
  const runners = [runnerOf('r0', 10, 'x', [copyOf(a), copyOf(b)]), runnerOf('r1', 10, 'y', [copyOf(a), copyOf(b)])]
  const cell = { models: [a, b, c], runners, rates: [1, 1, 1], moveWeight: 0.2 }
  run(cell)
  t.same([a, b, c].map((model) => servingCount(cell, model) > 0), [true, true, true])
  const crowded = { ...cell, models: [a, b, c, modelOf('d', 4), modelOf('e', 4)], rates: [1, 1, 1, 1, 1] }
  run(crowded)
  t.same([a, b, c].map((model) => servingCount(crowded, model) > 0), [true, true, true])
})

t.test('a copy is not unloaded if the only other one is unsettled, loading or draining', async (t) => {
  const [a, b] = [modelOf('a', 4), modelOf('b', 4)]
  for (const change of [{ unsettled: true }, { state: CopyState.Loading }]) {
    const runners = [runnerOf('r0', 5, 'x', [copyOf(a)]), runnerOf('r1', 5, 'y', [{ ...copyOf(a), ...change }])]
    const steps = planCell(inputOf({ models: [a, b], runners, rates: [1, 1], moveWeight: 0 }))
    t.notOk(steps.some(({ runner, action }) => runner === 'r0' && action === OrderAction.Unload))
  }
  const runners = [runnerOf('r0', 10, 'x', [copyOf(a)]), runnerOf('r1', 10, 'y')]
  const drain = planCell(inputOf({ models: [a], runners: [{ ...runners[0] as RunnerView, draining: true }, runners[1] as RunnerView], rates: [1], moveWeight: 0 }))
  t.match(drain, [{ action: OrderAction.Load, runner: 'r1' }])
})

t.test('an old version is unloaded only when its successor serves', async (t) => {
  const [model, old] = [modelOf('a', 4), { ...modelOf('a', 4), version: '0' }]
  const runners = [runnerOf('r0', 20, 'x', [copyOf(old), copyOf(model, CopyState.Loading)])]
  const cell = { models: [model], runners, rates: [1], moveWeight: 0 }
  t.same(planCell(inputOf(cell)), [])
  const next = [runnerOf('r0', 20, 'x', [copyOf(old), copyOf(model)])]
  t.match(planCell(inputOf({ ...cell, runners: next })), [{ action: OrderAction.Unload, version: '0' }])
})

t.test('respects the load budgets', async (t) => {
  const models = [0, 1, 2, 3, 4].map((index) => modelOf(`m${index}`, 2))
  const cell = { models, runners: [runnerOf('r0', 100, 'x')], rates: [1, 1, 1, 1, 1], moveWeight: 0 }
  t.equal(planCell({ ...inputOf(cell), budgets: { loads: 3, adapterLoads: 0 } }).length, 3)
})

t.test('a copy is added for demand only if the gain exceeds the cost', async (t) => {
  const [hot, cold] = [modelOf('hot', 4), modelOf('cold', 4)]
  const cellOf = (moveWeight: number): Cell => ({
    models: [hot, cold],
    runners: [runnerOf('r0', 20, 'x', [copyOf(hot), copyOf(cold)]), runnerOf('r1', 20, 'y', [copyOf(hot), copyOf(cold)]), runnerOf('r2', 20, 'z')],
    rates: [160, 10],
    moveWeight
  })
  t.match(planCell(inputOf(cellOf(0))), [{ action: OrderAction.Load, model: 'hot', runner: 'r2' }])
  t.same(planCell(inputOf(cellOf(1))), [])
})

t.test('a spare copy is unloaded for a busier model unless it is new or was needed recently', async (t) => {
  const [hot, cold] = [modelOf('hot', 4), modelOf('cold', 4)]
  const runners = ['x', 'y', 'z'].map((zone, index) => runnerOf(`r${index}`, index < 2 ? 10 : 5, zone, index < 2 ? [copyOf(hot), copyOf(cold)] : [copyOf(cold)]))
  const input = inputOf({ models: [hot, cold], runners, rates: [115, 1], moveWeight: 0 })
  const unloads = (changed: PlanInput) => planCell(changed).filter(({ action }) => action === OrderAction.Unload).map(({ runner }) => runner)
  t.same(unloads(input), ['r2'])
  t.same(unloads({ ...input, recentChanges: [{ runner: 'r2', model: 'cold', version: '1', atMs: 0 }], nowMs: 10_000 }), [])
  t.same(unloads({ ...input, demand: input.demand.map((row) => row.model === 'cold' ? { ...row, recentPeakPerS: 100 } : row) }), [])
})

t.test('a model whose copies have no free slots gets another copy', async (t) => {
  const model = modelOf('a', 4)
  const runners = ['x', 'y', 'z'].map((zone, index) => runnerOf(`r${index}`, 10, zone, index < 2 ? [copyOf(model)] : []))
  const input = inputOf({ models: [model], runners, rates: [60], moveWeight: 0 })
  t.same(planCell(input), [])
  const full = input.demand.map((row) => ({ ...row, copyMsPerRequest: 40 }))
  t.match(planCell({ ...input, demand: full }), [{ action: OrderAction.Load, runner: 'r2' }])
})

t.test('a busy model gets a redundant copy, from free memory only', async (t) => {
  const model = modelOf('a', 4)
  const zones = ['x', 'y', 'z']
  const inputWith = (memoryMiB: number) => {
    const runners = zones.map((zone, index) => runnerOf(`r${index}`, index < 2 ? 10 : memoryMiB, zone, index < 2 ? [copyOf(model)] : []))
    return inputOf({ models: [model], runners, rates: [1], moveWeight: 1 })
  }
  const withUsual = (input: PlanInput, usualPerS: number) => ({ ...input, demand: input.demand.map((row) => ({ ...row, usualPerS })) })
  t.match(planCell(withUsual(inputWith(10), 70)), [{ action: OrderAction.Load, runner: 'r2' }])
  t.same(planCell(withUsual(inputWith(10), 50)), [])
  t.same(planCell(withUsual(inputWith(4), 70)), [])
})
