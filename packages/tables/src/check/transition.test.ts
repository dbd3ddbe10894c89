import t from 'tap'
import type { Pool, PoolModel, Route, Runner, Tables } from '../types.js'
import { planTransition } from './transition.js'

const POOLS = new Set(['p'])

function model (name: string, version: string, weightsMiB: number): PoolModel {
  return { name, version, weightsMiB, kvReserveMiB: 0, adapters: [] }
}

function runner (name: string, memoryMiB: number): Runner {
  return { name, availabilityZone: 'a', url: `http://${name}:1`, accelerators: 1, memoryMiB, checksFencing: true }
}

function route (name: string, version: string): Route {
  return { kind: 'model', name, model: name, version, pool: 'p', firstTokenTargetMs: 1, betweenTokensTargetMs: 1, priority: 'interactive' }
}

/** Tables of one pool whose routes name each model at one version. */
function tables (memoryMiB: number[], models: [string, string, number][]): Tables {
  const pool: Pool = {
    name: 'p',
    region: 'r',
    moveWeight: 0,
    runners: memoryMiB.map((size, index) => runner(`r${index}`, size)),
    models: models.map(([name, version, size]) => model(name, version, size))
  }
  return { routes: models.map(([name, version]) => route(name, version)), pools: [pool] }
}

t.test('old and new copies fit together', async (t) => {
  t.same(planTransition(tables([20], [['a', '1', 10]]), tables([20], [['a', '2', 10]]), POOLS), { mode: 'side-by-side', steps: [], issues: [] })
})

t.test('last copy is never unloaded for its successor', async (t) => {
  const plan = planTransition(tables([19], [['a', '1', 10]]), tables([19], [['a', '2', 10]]), POOLS)
  t.equal(plan.mode, 'stepwise')
  t.match(plan.issues, [{ row: 'model:p:a:2', message: /no room at the peak/ }])
})

t.test('two models change version one after the other', async (t) => {
  const plan = planTransition(tables([30], [['a', '1', 10], ['b', '1', 10]]), tables([30], [['a', '2', 10], ['b', '2', 10]]), POOLS)
  t.same(plan.issues, [])
  t.same(plan.steps.map(({ action, model, version }) => `${action} ${model} ${version}`), [
    'load a 2', 'unload a 1', 'load b 2', 'unload b 1'
  ])
})

t.test('model without a route is unloaded before a new one is loaded', async (t) => {
  const plan = planTransition(tables([10], [['a', '1', 10]]), tables([10], [['b', '1', 10]]), POOLS)
  t.same(plan.steps.map(({ action, model }) => `${action} ${model}`), ['unload a', 'load b'])
  t.same(plan.issues, [])
})

t.test('a copy moves to make room', async (t) => {
  const before = tables([20, 15], [['a', '1', 10], ['b', '1', 10]])
  const full = planTransition(before, tables([20, 15], [['a', '1', 10], ['b', '1', 10], ['c', '1', 16]]), POOLS)
  t.same(full.issues.map(({ row }) => row), ['model:p:c:1'])
  const shrunk = planTransition(tables([20, 15], [['a', '1', 10], ['b', '1', 5], ['c', '1', 9]]), tables([20, 15], [['b', '1', 5], ['c', '1', 9], ['d', '1', 20]]), POOLS)
  t.same(shrunk.issues, [])
  t.ok(shrunk.steps.some(({ action }) => action === 'move'))
})

t.test('removed runner keeps its copies until they are resident elsewhere', async (t) => {
  const plan = planTransition(tables([10, 10], [['a', '1', 10], ['b', '1', 6]]), tables([10], [['a', '1', 10]]), POOLS)
  t.same(plan.issues, [])
  const blocked = planTransition(tables([10, 10], [['a', '1', 6], ['b', '1', 6]]), tables([10], [['a', '1', 6], ['b', '1', 6]]), POOLS)
  t.equal(blocked.issues.length, 1)
})

t.test('copy that grows', async (t) => {
  t.same(planTransition(tables([20], [['a', '1', 12]]), tables([20], [['a', '1', 20]]), POOLS).issues, [])
  t.equal(planTransition(tables([20], [['a', '1', 12]]), tables([20], [['a', '1', 21]]), POOLS).issues.length, 1)
})

t.test('old copy that no longer fits on its runner', async (t) => {
  const plan = planTransition(tables([20], [['a', '1', 15]]), tables([10, 20], [['a', '2', 15]]), POOLS)
  t.match(plan, { mode: 'stepwise', issues: [{ row: 'model:p:a:1' }] })
})
