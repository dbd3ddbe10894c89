import t from 'tap'
import type { EngineReport } from '@figloom/clients'
import { OrderAction, RunnerRole, type Adapter } from '@figloom/tables'
import { isAdmitted, keepsReachable, toOrder, type AdmissionContext, type OrderableRunner } from './admission.js'
import type { CellOrder } from './records.js'
import { adapterLoadOf, copyOf, intentOf, loadOf, reportOf, unloadOf } from './cell-fixtures.js'

const adapters: Adapter[] = [{ name: 'x', sizeMiB: 10 }, { name: 'y', sizeMiB: 10 }]

function runnerOf (name: string, report: Partial<EngineReport>, fields: Partial<OrderableRunner> = {}): OrderableRunner {
  const spec = { name, url: `http://${name}`, availabilityZone: 'zone-1', memoryMiB: 100, checksFencing: true }
  return {
    spec,
    timedReport: { report: reportOf({ runner: name, ...report }), takenMs: 1, asOfOffset: 9 },
    healthy: true,
    draining: false,
    inTables: true,
    ...fields
  }
}

function contextOf (runners: OrderableRunner[], fields: Partial<AdmissionContext> = {}): AdmissionContext {
  return {
    config: {
      runners: runners.map(({ spec }) => ({ ...spec, accelerators: 1 })),
      models: [{ name: 'm', version: '1', weightsMiB: 60, kvReserveMiB: 20, adapters }],
      routed: [{ model: 'm', version: '1', adapters: ['x'] }],
      share: { loadStartEveryMs: 0, concurrentLoads: 1, concurrentAdapters: 1 },
      transitReserveMiB: 0
    },
    runners: new Map(runners.map((runner) => [runner.spec.name, runner])),
    intents: [],
    mayStartLoad: true,
    ...fields
  }
}

function withAdapter (...names: string[]) {
  return { ...copyOf('m'), adapters: names.map((name) => ({ name, sizeMiB: 10, state: 'resident' as const })) }
}

function adapterUnloadOf (adapter: string, runner = 'r1'): CellOrder {
  return { ...unloadOf('m', runner), action: OrderAction.UnloadAdapter, adapter }
}

function roleOf (role: RunnerRole, runner = 'r1'): CellOrder {
  return { ...unloadOf('', runner), action: OrderAction.SetRole, role }
}

t.test('load needs a healthy runner that the tables name and that has reported', async (t) => {
  t.ok(isAdmitted(loadOf('m'), contextOf([runnerOf('r1', {})])))
  for (const fields of [{ healthy: false }, { draining: true }, { inTables: false }, { timedReport: undefined }]) {
    t.notOk(isAdmitted(loadOf('m'), contextOf([runnerOf('r1', {}, fields)])))
  }
})

t.test('the same order is not written again while the first is in progress', async (t) => {
  const context = contextOf([runnerOf('r1', {})], { intents: [intentOf(2, loadOf('m'))] })
  context.config.share.concurrentLoads = 8
  t.notOk(isAdmitted(loadOf('m'), context))
  context.intents = [intentOf(2, loadOf('m'), { word: { word: 'unanswered', offset: 3 } })]
  t.ok(isAdmitted(loadOf('m'), context))
})

t.test('adapter load needs a settled copy and a free share of concurrent adapter loads', async (t) => {
  const order = adapterLoadOf('m', 'x', 10)
  t.notOk(isAdmitted(order, contextOf([runnerOf('r1', {})])))
  t.ok(isAdmitted(order, contextOf([runnerOf('r1', { copies: [copyOf('m')] })])))
  t.notOk(isAdmitted(order, contextOf([runnerOf('r1', { copies: [copyOf('m')] })], { intents: [intentOf(2, unloadOf('m'))] })))
  t.notOk(isAdmitted(order, contextOf([runnerOf('r1', { copies: [copyOf('m')] })], { intents: [intentOf(2, adapterLoadOf('m', 'y', 10))] })))
})

t.test('last copy of a routed adapter is not unloaded', async (t) => {
  const one = contextOf([runnerOf('r1', { copies: [withAdapter('x', 'y')] }), runnerOf('r2', { copies: [withAdapter('y')] })])
  t.notOk(keepsReachable(adapterUnloadOf('x'), one))
  t.ok(keepsReachable(adapterUnloadOf('y'), one), 'no route names it')
  t.notOk(keepsReachable(unloadOf('m'), one), 'the other copy lacks the adapter')
  const two = contextOf([runnerOf('r1', { copies: [withAdapter('x')] }), runnerOf('r2', { copies: [withAdapter('x')] })])
  t.ok(keepsReachable(adapterUnloadOf('x'), two))
  t.ok(keepsReachable(unloadOf('m'), two))
  const unloading = { ...two, intents: [intentOf(2, adapterUnloadOf('x', 'r2'))] }
  t.notOk(keepsReachable(adapterUnloadOf('x'), unloading), 'the other copy may be unloaded')
})

t.test('role change is refused on the only runner that serves a model in both roles', async (t) => {
  const one = contextOf([runnerOf('r1', { copies: [copyOf('m')] }), runnerOf('r2', {})])
  t.notOk(keepsReachable(roleOf(RunnerRole.Decode), one))
  t.ok(keepsReachable(roleOf(RunnerRole.Both), one))
  const two = contextOf([runnerOf('r1', { copies: [copyOf('m')] }), runnerOf('r2', { copies: [copyOf('m')] })])
  t.ok(keepsReachable(roleOf(RunnerRole.Decode), two))
  t.notOk(keepsReachable(roleOf(RunnerRole.Decode), { ...two, intents: [intentOf(2, roleOf(RunnerRole.Prefill, 'r2'))] }))
  const split = contextOf([runnerOf('r1', { copies: [copyOf('m')] }), runnerOf('r2', { copies: [copyOf('m')], role: 'prefill' })])
  t.notOk(keepsReachable(unloadOf('m'), split))
})

t.test('order takes its sizes from the tables', async (t) => {
  const { config } = contextOf([runnerOf('r1', {})])
  const step = { runner: 'r1', model: 'm', version: '1', addsMiB: 0, reason: '' }
  t.match(toOrder({ ...step, action: OrderAction.Load }, config), { weightsMiB: 60, kvReserveMiB: 20 })
  t.match(toOrder({ ...step, action: OrderAction.LoadAdapter, adapter: 'x' }, config), { sizeMiB: 10 })
  t.equal(toOrder({ ...step, action: OrderAction.Load, version: '2' }, config), undefined)
})
