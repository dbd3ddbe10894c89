import t from 'tap'
import { ManualClock } from '@figloom/runtime'
import type { AdmissionContext } from './admission.js'
import { copyOf, intentOf, loadOf, reportOf, unloadOf } from './cell-fixtures.js'
import type { CellJournal } from './append-queue.js'
import { OrderRelease } from './order-scheduler.js'
import type { OrderSender } from './order-sender.js'
import type { CellSituation } from './local-cell-state.js'
import { createCellState, type Intent } from './state.js'

/** Runners r1 and r2; only r1 holds the routed model `m`, so that no order may take it away there. */
function contextWithOneCopy (): AdmissionContext {
  const specs = ['r1', 'r2'].map((name) => ({ name, url: `http://${name}`, availabilityZone: 'z', memoryMiB: 100, checksFencing: true }))
  const copies = { r1: [copyOf('m')], r2: [] } as const
  return {
    config: {
      runners: specs.map((spec) => ({ ...spec, accelerators: 1 })),
      models: [],
      routed: [{ model: 'm', version: '1', adapters: [] }],
      share: { loadStartEveryMs: 0, concurrentLoads: 1, concurrentAdapters: 1 },
      transitReserveMiB: 0
    },
    runners: new Map(specs.map((spec) => [spec.name, {
      spec,
      taken: { report: reportOf({ runner: spec.name, copies: [...copies[spec.name as 'r1' | 'r2']] }), takenMs: 1, asOfOffset: 9 },
      healthy: true,
      draining: false,
      inTables: true
    }])),
    intents: [],
    mayStartLoad: true
  }
}

/** Releases a tenure's intents; returns the offsets that were handed to the sender. */
function release (intents: Intent[]): number[] {
  const sent: number[] = []
  const context = contextWithOneCopy()
  const situation = { config: context.config, admissionContext: () => context, specsOf: () => [...context.runners.values()].map(({ spec }) => spec) }
  const sender = { hasTaken: (offset: number) => sent.includes(offset), send: ({ offset }: Intent) => { sent.push(offset) } }
  const journal = { isWithdrawing: () => false, append: () => {} }
  const releases = OrderRelease.create({
    clock: ManualClock.create(),
    situation: situation as unknown as CellSituation,
    sender: sender as unknown as OrderSender,
    journal: journal as unknown as CellJournal,
    currentState: () => createCellState(),
    isRetiring: () => false,
    confirmPatienceMs: 1_000
  })
  releases.releaseAll({ ...createCellState(), intents }, 1)
  return sent
}

t.test('a later order of a runner waits behind one that may not leave yet', async (t) => {
  const last = intentOf(1, unloadOf('m', 'r1'))
  const later = intentOf(2, loadOf('n', 'r1'))
  const elsewhere = intentOf(3, loadOf('n', 'r2'))
  t.same(release([last, later, elsewhere]), [3])
})

t.test('orders of a runner leave in the order of their intents', async (t) => {
  t.same(release([intentOf(5, loadOf('o', 'r2')), intentOf(4, loadOf('n', 'r2'))]), [4, 5])
})
