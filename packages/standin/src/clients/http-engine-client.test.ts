import t from 'tap'
import fc from 'fast-check'
import type { ResultAsync } from 'neverthrow'
import { ManualClock, type Failure } from '@figloom/runtime'
import { HttpEngineClient, type EngineClient, type EngineOrder } from '@figloom/clients'
import type { EngineFaults } from '../engine/types.js'
import { MemoryEngines } from '../engine/memory-engines.js'
import { startStandins } from '../start.js'

type Step =
  | { kind: 'order', order: EngineOrder }
  | { kind: 'report' }
  | { kind: 'cancel', attemptId: string }
  | { kind: 'advance', durationMs: number }
  | { kind: 'faults', faults: Partial<EngineFaults> }

const order: fc.Arbitrary<EngineOrder> = fc.record({
  orderId: fc.constantFrom('o1', 'o2', 'o3'),
  fence: fc.integer({ min: 1, max: 5 }),
  action: fc.constantFrom('load', 'unload', 'load-adapter', 'unload-adapter', 'set-role', 'other'),
  model: fc.constantFrom('a', 'b'),
  version: fc.constant('1'),
  adapter: fc.constantFrom('x', 'y'),
  role: fc.constantFrom('decode', 'both', 'other'),
  weightsMiB: fc.constant(60),
  kvReserveMiB: fc.constant(10),
  sizeMiB: fc.constant(5)
})
const steps = fc.array(fc.oneof<fc.Arbitrary<Step>[]>(
  order.map((order) => ({ kind: 'order', order })),
  fc.constant({ kind: 'report' }),
  fc.constantFrom('t1', 't2').map((attemptId) => ({ kind: 'cancel', attemptId })),
  fc.integer({ min: 1, max: 600 }).map((durationMs) => ({ kind: 'advance', durationMs })),
  fc.record({ down: fc.boolean() }).map((faults) => ({ kind: 'faults', faults })),
  fc.constantFrom('loseOrders' as const, 'loseOrderAnswers' as const).map((name) => ({ kind: 'faults', faults: { [name]: 1 } }))
), { maxLength: 30 })

async function outcome (result: ResultAsync<unknown, Failure>): Promise<unknown> {
  return (await result).match((value) => value, ({ code, ran }) => ({ code: code.type, ran }))
}

function run (client: EngineClient, url: string, step: Extract<Step, { kind: 'order' | 'report' | 'cancel' }>): Promise<unknown> {
  if (step.kind === 'order') return outcome(client.order(url, step.order))
  if (step.kind === 'report') return outcome(client.report(url))
  return outcome(client.cancel(url, step.attemptId))
}

t.test('the HTTP client gives the same outcomes as an engine in this process', async (t) => {
  await fc.assert(fc.asyncProperty(steps, fc.boolean(), async (steps, checksFencing) => {
    const clock = ManualClock.create()
    const running = await startStandins({ standin: [{ kind: 'engine', name: 'r1', memoryMiB: 100, checksFencing }] }, clock)
    const url = running.urlOf('r1')
    const remote = running.standins[0]?.core
    if (remote?.kind !== 'engine') throw new Error('the stand-in is not an engine')
    const memory = MemoryEngines.create({ clock })
    const local = memory.add(url, { config: { runner: 'r1', memoryMiB: 100, checksFencing } })
    const http = HttpEngineClient.create({ clock })
    try {
      for (const step of steps) {
        if (step.kind === 'advance') await clock.advance(step.durationMs)
        else if (step.kind === 'faults') for (const engine of [local, remote.engine]) engine.setFaults(step.faults)
        else t.same(await run(http, url, step), await run(memory, url, step))
      }
      t.same(remote.engine.stats(), local.stats())
    } finally {
      await http.close()
      await running.close()
    }
  }), { seed: 20260108, numRuns: 60 })
})
