/** Replays stepwise plans and checks memory and reachability after each step. */
import t from 'tap'
import fc from 'fast-check'
import type { Pool, Route, Tables } from '../types.js'
import { checkTables } from './check.js'
import { copyKey, isModelRoute, requiredCopies, routeCopyKey } from './copies.js'
import { packItems } from './packing.js'
import { planTransition, TransitionMode } from './transition.js'
import { TransitionAction, type TransitionStep } from './stepwise.js'

const SEED = 20_260_902
const RUNS = 6000

const runnerMemory = fc.dictionary(fc.constantFrom('r1', 'r2', 'r3', 'r4'), fc.integer({ min: 10, max: 40 }), { minKeys: 1 })
const modelSizes = fc.dictionary(fc.constantFrom('a:1', 'a:2', 'b:1', 'b:2', 'c:1', 'd:1'), fc.integer({ min: 2, max: 25 }), { minKeys: 1 })
const tablesArbitrary = fc.record({ runners: runnerMemory, models: modelSizes, routed: fc.array(fc.nat(5), { minLength: 4, maxLength: 4 }) })
  .map(({ runners, models, routed }): Tables => {
    const pool: Pool = {
      name: 'p',
      region: 'r',
      moveWeight: 0,
      runners: Object.entries(runners).sort().map(([name, memoryMiB]) => ({ name, availabilityZone: 'z', url: `http://${name}`, accelerators: 1, memoryMiB, checksFencing: false })),
      models: Object.entries(models).sort().map(([key, weightsMiB]) => ({ name: key.slice(0, 1), version: key.slice(2), weightsMiB, kvReserveMiB: 0, adapters: [] }))
    }
    const routes = routed.flatMap((pick, index): Route[] => {
      const model = pool.models[pick]
      if (model === undefined) return []
      return [{ kind: 'model', name: `route-${index}`, model: model.name, version: model.version, pool: 'p', firstTokenTargetMs: 1, betweenTokensTargetMs: 1, priority: 'batch' }]
    })
    return { routes, pools: [pool] }
  })
  .filter((tables) => checkTables(tables).length === 0)

type Copy = { key: string, runner: string, sizeMiB: number }

/** Memory of every runner that exists before or after the change; the new tables take precedence. */
function memoryOf (before: Tables, after: Tables): Map<string, number> {
  return new Map([before, after].flatMap(({ pools }) => pools.flatMap(({ runners }) => runners.map(({ name, memoryMiB }): [string, number] => [name, memoryMiB]))))
}

function initialPlacement (before: Tables, memory: ReadonlyMap<string, number>): Copy[] {
  const pool = before.pools[0] as Pool
  const needs = requiredCopies(pool, before.routes)
  const bins = pool.runners.map(({ name }) => ({ runner: name, freeMiB: memory.get(name) ?? 0 }))
  const { placed } = packItems(needs, bins)
  return needs.map(({ key, sizeMiB }) => ({ key, sizeMiB, runner: placed.get(key) ?? '' }))
}

function applyStep (copies: Copy[], step: TransitionStep): Copy[] {
  const key = copyKey(step.pool, step.model, step.version)
  const { runner, sizeMiB, fromRunner } = step
  const without = copies.filter((copy) => copy.key !== key || copy.runner !== (fromRunner ?? runner))
  return step.action === TransitionAction.Unload ? without : [...without, { key, runner, sizeMiB }]
}

function checkMemory (copies: readonly Copy[], memory: ReadonlyMap<string, number>): void {
  for (const [runner, memoryMiB] of memory) {
    const usedMiB = copies.filter((copy) => copy.runner === runner).reduce((sum, { sizeMiB }) => sum + sizeMiB, 0)
    if (usedMiB > memoryMiB) throw new Error(`${runner} holds ${usedMiB} of ${memoryMiB} MiB`)
  }
}

/** Checks that each route in both tables has its old or its new copy resident. */
function checkRoutesServed (copies: readonly Copy[], before: Tables, after: Tables): void {
  const targets = new Map(after.routes.filter(isModelRoute).map((route) => [route.name, routeCopyKey(route)]))
  for (const route of before.routes.filter(isModelRoute)) {
    const target = targets.get(route.name)
    if (target === undefined) continue
    if (!copies.some(({ key }) => key === target || key === routeCopyKey(route))) throw new Error(`${route.name} has no copy`)
  }
}

function checkFinalCopies (copies: readonly Copy[], after: Tables): void {
  const pool = after.pools[0] as Pool
  for (const { key, sizeMiB } of requiredCopies(pool, after.routes)) {
    const isResident = copies.some((copy) => copy.key === key && copy.sizeMiB >= sizeMiB && pool.runners.some(({ name }) => name === copy.runner))
    if (!isResident) throw new Error(`${key} is not resident at the end`)
  }
}

t.test('no step of a plan overcommits memory or unloads the last copy that a route needs', async (t) => {
  const counts = { sideBySide: 0, stepwise: 0, refused: 0, steps: 0, moves: 0 }
  fc.assert(fc.property(tablesArbitrary, tablesArbitrary, (before, after) => {
    const plan = planTransition(before, after, new Set(['p']))
    if (plan.issues.length > 0) counts.refused += 1
    else if (plan.mode === TransitionMode.SideBySide) counts.sideBySide += 1
    else counts.stepwise += 1
    if (plan.mode === TransitionMode.SideBySide || plan.issues.length > 0) return
    const memory = memoryOf(before, after)
    let copies = initialPlacement(before, memory)
    checkMemory(copies, memory)
    for (const step of plan.steps) {
      copies = applyStep(copies, step)
      checkMemory(copies, memory)
      checkRoutesServed(copies, before, after)
      counts.steps += 1
      if (step.action === TransitionAction.Move) counts.moves += 1
    }
    checkFinalCopies(copies, after)
  }), { seed: SEED, numRuns: RUNS })
  t.comment(JSON.stringify(counts))
  t.ok(counts.stepwise > 100 && counts.refused > 100 && counts.moves > 10)
})
