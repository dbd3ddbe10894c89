/** Generated faults of a cell and the invariants that hold under any of them. */
import fc from 'fast-check'
import { OrderAction } from '@figloom/tables'
import type { EngineOrder } from '@figloom/clients'
import type { LeaseSettings } from '../lease.js'
import { createCellBench, modelOf, stepOf, type CellBench } from './cell-bench.js'
import type { FakeEngine, FakeEngineOptions, OrderFault } from './fake-engines.js'

/** Sizes in MiB, with 5 MiB of KV reserve each, on engines of 100 MiB: any two fit and three never do. */
const SIZES = new Map([['m', 40], ['n', 42], ['o', 38]])
const MODELS = [...SIZES.keys()]
const RUNNERS = ['r1', 'r2', 'r3']
const HOSTS = ['host-a', 'host-b', 'host-c']

const SHORT_LEASE: LeaseSettings = { leaseMs: 3_000, renewEveryMs: 1_200, driftRatio: 0.01, marginMs: 200, staggerMs: 300, minLogReadableMs: 800 }

const host = fc.nat(HOSTS.length - 1)
const runner = fc.constantFrom(...RUNNERS)
const model = fc.constantFrom(...MODELS)

/** One event of an interleaving. */
const eventArbitrary = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('advance' as const), durationMs: fc.constantFrom(100, 300, 1_000, 3_000, 6_000) }) },
  {
    weight: 9,
    arbitrary: fc.record({ kind: fc.constant('step' as const), runner, model, action: fc.constantFrom(OrderAction.Load, OrderAction.Load, OrderAction.Unload) })
  },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('freeze' as const), host, atOrder: fc.constantFrom(true, true, false) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('thaw' as const), host }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('kill' as const), host, evidence: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('retire' as const), host }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('order-fault' as const),
      runner,
      fault: fc.constantFrom('lose' as const, 'lose-answer' as const, 'delay' as const, 'duplicate' as const),
      delayMs: fc.constantFrom(500, 4_000, 15_000)
    })
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('replace-engine' as const), runner }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('engine-down' as const), runner }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('log' as const),
      fault: fc.constantFrom('down' as const, 'up' as const, 'lose-answers' as const, 'reject' as const, 'slow' as const)
    })
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('route' as const), model, routed: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('drop-runner' as const), runner, named: fc.boolean() }) }
)

type FaultEvent = typeof eventArbitrary extends fc.Arbitrary<infer Event> ? Event : never

export const interleavingArbitrary = fc.record({
  checksFencing: fc.array(fc.boolean(), { minLength: RUNNERS.length, maxLength: RUNNERS.length }),
  listsOrders: fc.boolean(),
  standby: fc.boolean(),
  hosts: fc.integer({ min: 2, max: 3 }),
  events: fc.array(eventArbitrary, { minLength: 15, maxLength: 60 })
})

export type Interleaving = typeof interleavingArbitrary extends fc.Arbitrary<infer Value> ? Value : never

/** Runs one interleaving and returns descriptions of the violations; empty if all invariants held. */
export async function runInterleaving (interleaving: Interleaving): Promise<string[]> {
  const bench = createFaultBench(interleaving)
  const watch = watchGuarantees(bench)
  await bench.advance(2_000)
  for (const event of interleaving.events) await applyEvent(bench, watch, event)
  await heal(bench)
  watch.check()
  await bench.stop()
  return watch.violations
}

function createFaultBench (interleaving: Interleaving): CellBench {
  const runners = RUNNERS.map((name, index): Partial<FakeEngineOptions> => ({
    name, checksFencing: interleaving.checksFencing[index] ?? true, listsOrders: interleaving.listsOrders, loadMs: 700, unloadMs: 400
  }))
  const bench = createCellBench({
    hosts: HOSTS.slice(0, interleaving.hosts),
    runners,
    models: MODELS.map((name) => modelOf(name, sizeOf(name), 5)),
    holder: {
      lease: SHORT_LEASE,
      standbyLimit: interleaving.standby ? 2 : 0,
      times: {
        readWaitMs: 1_000,
        readRetryMs: 200,
        logTimeoutMs: 600,
        orderTimeoutMs: 800,
        idleReportMs: 1_000,
        busyReportMs: 300,
        staleReportMs: 4_000,
        fenceEveryMs: 1_000,
        acceptedTimeoutMs: 2_000,
        confirmTimeoutMs: 2_000,
        snapshotEveryMs: 30_000,
        standbyAfterMs: 800,
        standbyIdleMs: 500
      }
    }
  })
  bench.engines.get('r1').addCopy('m', sizeOf('m'), 5)
  bench.engines.get('r2').addCopy('n', sizeOf('n'), 5)
  bench.engines.get('r3').addCopy('m', sizeOf('m'), 5)
  return bench
}

function sizeOf (model: string): number {
  return SIZES.get(model) ?? 0
}

/** Checks the engines' own accounting, and each unload at the moment that it takes effect. */
function watchGuarantees (bench: CellBench) {
  const watch = {
    violations: [] as string[],
    lastLossMs: -Infinity,
    routedSinceMs: new Map(MODELS.map((name) => [name, -Infinity])),
    killed: 0,
    check: () => {
      for (const engine of bench.engines.engines.values()) {
        if (engine.peakMiB > engine.options.memoryMiB) watch.violations.push(`${engine.options.name} used ${engine.peakMiB} MiB`)
      }
    }
  }
  bench.engines.onUnload = (engine, order) => {
    const writtenMs = bench.appendedMs.get(order.fence) ?? -Infinity
    const routedSinceMs = watch.routedSinceMs.get(order.model) ?? Infinity
    if (routedSinceMs > writtenMs || watch.lastLossMs >= writtenMs) return
    if (!hasOtherCopy(bench, engine, order)) watch.violations.push(`last copy of ${order.model} unloaded from ${engine.options.name} at fence ${order.fence}`)
  }
  return watch
}

type Watch = ReturnType<typeof watchGuarantees>

function hasOtherCopy (bench: CellBench, engine: FakeEngine, order: EngineOrder): boolean {
  return [...bench.engines.engines.values()].some((other) => other !== engine && other.holds(order.model))
}

async function applyEvent (bench: CellBench, watch: Watch, event: FaultEvent): Promise<void> {
  switch (event.kind) {
    case 'advance': return bench.advance(event.durationMs)
    case 'step':
      bench.planner.steps = [stepOf(event.action, event.runner, event.model), ...bench.planner.steps].slice(0, 3)
      return bench.advance(300)
    case 'freeze': return freeze(bench, event.host, event.atOrder)
    case 'thaw': return thaw(bench, event.host)
    case 'kill': return kill(bench, watch, event.host, event.evidence)
    case 'retire':
      bench.hosts[event.host]?.holder.post({ type: 'retire', onRetired: () => {} })
      return
    case 'order-fault':
      return failOrder(bench, event.runner, event.fault, event.delayMs)
    case 'replace-engine':
      watch.lastLossMs = bench.clock.monotonicMs()
      bench.engines.get(event.runner).replaceProcess()
      return
    case 'engine-down':
      watch.lastLossMs = bench.clock.monotonicMs()
      bench.engines.get(event.runner).alive = false
      return
    case 'log': return setLogFault(bench, event.fault)
    case 'route':
      watch.routedSinceMs.set(event.model, event.routed ? bench.clock.monotonicMs() : Infinity)
      return bench.configure({
        routed: MODELS.filter((name) => watch.routedSinceMs.get(name) !== Infinity).map((name) => ({ model: name, version: '1', adapters: [] }))
      })
    case 'drop-runner': {
      const others = bench.config.runners.filter(({ name }) => name !== event.runner)
      const row = bench.allRunners.find(({ name }) => name === event.runner)
      return bench.configure({ runners: event.named && row !== undefined ? [...others, row] : others })
    }
  }
}

/** Duplicate delivery cannot be detected on an engine that ignores fences, so a delay is injected there instead. */
function failOrder (bench: CellBench, name: string, kind: OrderFault['kind'], delayMs: number): void {
  const isUnguarded = kind === 'duplicate' && !bench.engines.get(name).options.checksFencing
  bench.engines.fail(name, isUnguarded ? { kind: 'delay', delayMs } : { kind, delayMs })
}

function freeze (bench: CellBench, index: number, atOrder: boolean): void {
  const chosen = bench.hosts[index]
  if (chosen === undefined) return
  if (!atOrder) return chosen.gate.freeze()
  let done = false
  chosen.engines.freezeBefore = () => {
    const first = !done
    done = true
    return first
  }
}

function thaw (bench: CellBench, index: number): void {
  const chosen = bench.hosts[index]
  if (chosen === undefined) return
  chosen.engines.freezeBefore = () => false
  chosen.gate.thaw()
}

function kill (bench: CellBench, watch: Watch, index: number, hasEvidence: boolean): void {
  const chosen = bench.hosts[index]
  if (chosen === undefined) return
  chosen.gate.kill()
  watch.killed += 1
  const next = bench.start(chosen.name, `${chosen.name}-${watch.killed + 1}`)
  bench.hosts.splice(bench.hosts.indexOf(next), 1)
  bench.hosts[index] = next
  if (!hasEvidence) return
  for (const { holder } of bench.hosts) {
    holder.post({ type: 'sender-gone', sender: chosen.sender, evidence: 'host-restarted' })
  }
}

function setLogFault (bench: CellBench, fault: 'down' | 'up' | 'lose-answers' | 'reject' | 'slow'): void {
  const { faults } = bench.log
  if (fault === 'down') faults.down = true
  if (fault === 'up') Object.assign(faults, { down: false, delayMs: 0 })
  if (fault === 'lose-answers') faults.loseAnswers = 2
  if (fault === 'reject') faults.rejectAppends = 2
  if (fault === 'slow') faults.delayMs = 400
}

/** Ends all faults and waits for delayed orders to arrive. */
async function heal (bench: CellBench): Promise<void> {
  setLogFault(bench, 'up')
  for (let index = 0; index < bench.hosts.length; index += 1) thaw(bench, index)
  for (const engine of bench.engines.engines.values()) if (!engine.alive) engine.replaceProcess()
  await bench.advance(20_000)
}
