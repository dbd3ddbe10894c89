import t from 'tap'
import { ManualClock } from '@figloom/runtime'
import type { AdmissionContext } from './admission.js'
import { copyOf, intentOf, loadOf, reportOf, unloadOf } from './cell-fixtures.js'
import type { AppendQueue } from './append-queue.js'
import { OrderScheduler } from './order-scheduler.js'
import type { OrderSender } from './order-sender.js'
import type { LocalCellState } from './local-cell-state.js'
import { createCellState, type Intent } from './state.js'

/** Runners r1 and r2; only r1 holds the routed model `m`, so that no order may unload it there. */
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
      timedReport: { report: reportOf({ runner: spec.name, copies: [...copies[spec.name as 'r1' | 'r2']] }), takenMs: 1, asOfOffset: 9 },
      healthy: true,
      draining: false,
      inTables: true
    }])),
    intents: [],
    mayStartLoad: true
  }
}

/** Sends the ready orders of a term; returns the offsets that were handed to the order sender. */
function sendReady (intents: Intent[]): number[] {
  const sent: number[] = []
  const context = contextWithOneCopy()
  const localState = { config: context.config, admissionContext: () => context, specsOf: () => [...context.runners.values()].map(({ spec }) => spec) }
  const sender = { isSentOrQueued: (offset: number) => sent.includes(offset), send: ({ offset }: Intent) => { sent.push(offset) } }
  const appendQueue = { isWithdrawing: () => false, append: () => {} }
  const scheduler = OrderScheduler.create({
    clock: ManualClock.create(),
    localState: localState as unknown as LocalCellState,
    sender: sender as unknown as OrderSender,
    appendQueue: appendQueue as unknown as AppendQueue,
    currentState: () => createCellState(),
    isRetiring: () => false,
    confirmTimeoutMs: 1_000
  })
  scheduler.sendReady({ ...createCellState(), intents }, 1)
  return sent
}

t.test('a later order of a runner waits for an earlier one that may not be sent yet', async (t) => {
  const last = intentOf(1, unloadOf('m', 'r1'))
  const later = intentOf(2, loadOf('n', 'r1'))
  const elsewhere = intentOf(3, loadOf('n', 'r2'))
  t.same(sendReady([last, later, elsewhere]), [3])
})

t.test('orders of a runner are sent in the order of their intents', async (t) => {
  t.same(sendReady([intentOf(5, loadOf('o', 'r2')), intentOf(4, loadOf('n', 'r2'))]), [4, 5])
})
