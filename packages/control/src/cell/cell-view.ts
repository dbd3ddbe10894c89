/** The view of a cell that routing and planning read. */
import type { EngineReport, ReportedCopy } from '@figloom/clients'
import { CopyState, OrderAction, RunnerRole, type ModelCopy, type RunnerView } from '@figloom/tables'
import { freeMemoryMiB, isOpenIn, modelKeyOf } from './ledger.js'
import type { RunnerSpec } from './runner-tracker.js'
import type { Intent } from './state.js'

/** Input for the view of one runner. */
export type RunnerViewInput = {
  spec: RunnerSpec
  /** Newest report that this host received or that the stream records; undefined if there is neither. */
  report: Pick<EngineReport, 'instance' | 'copies' | 'memoryMiB' | 'role'> | undefined
  /** Intents of the runner whose memory counts as in use. */
  intents: Intent[]
  transitReserveMiB: number
  healthy: boolean
  draining: boolean
}

/** Builds the view; a runner without any report has no free memory. */
export function toRunnerView (input: RunnerViewInput): RunnerView {
  const { spec, report, intents, transitReserveMiB, healthy, draining } = input
  const free = report === undefined ? 0 : freeMemoryMiB({ memoryMiB: spec.memoryMiB, transitReserveMiB, report, intents })
  return {
    name: spec.name,
    availabilityZone: spec.availabilityZone,
    memoryMiB: spec.memoryMiB,
    freeMiB: free,
    healthy: healthy && report !== undefined,
    draining,
    role: toRole(report?.role),
    copies: report === undefined ? [] : toCopies(report, intents)
  }
}

function toRole (role: string | undefined): RunnerRole {
  return Object.values(RunnerRole).find((known) => known === role) ?? RunnerRole.Both
}

function toCopies (report: NonNullable<RunnerViewInput['report']>, intents: Intent[]): ModelCopy[] {
  const open = intents.filter((intent) => isOpenIn(intent, report.instance))
  const reported = report.copies.map((copy) => toCopy(copy, open))
  const known = new Set(reported.map(modelKeyOf))
  const pendingLoads = open.filter(({ order }) => order.action === OrderAction.Load && !known.has(modelKeyOf(order)))
  return [...reported, ...uniqueCopies(pendingLoads)]
}

function toCopy (copy: ReportedCopy, open: Intent[]): ModelCopy {
  const own = open.filter(({ order }) => modelKeyOf(order) === modelKeyOf(copy))
  const isUnloading = own.some(({ order }) => order.action === OrderAction.Unload)
  return { ...copy, adapters: [...copy.adapters, ...pendingAdapters(copy, own)], unsettled: isUnloading || copy.state !== CopyState.Resident }
}

function pendingAdapters (copy: ReportedCopy, own: Intent[]): ModelCopy['adapters'] {
  const known = new Set(copy.adapters.map(({ name }) => name))
  return own.flatMap(({ order }) => {
    if (order.action !== OrderAction.LoadAdapter || order.adapter === undefined || known.has(order.adapter)) return []
    known.add(order.adapter)
    return [{ name: order.adapter, sizeMiB: order.sizeMiB, state: CopyState.Loading }]
  })
}

function uniqueCopies (pendingLoads: Intent[]): ModelCopy[] {
  const copies = new Map<string, ModelCopy>()
  for (const { order } of pendingLoads) {
    const { model, version, weightsMiB, kvReserveMiB } = order
    copies.set(modelKeyOf(order), { model, version, weightsMiB, kvReserveMiB, state: CopyState.Loading, adapters: [], unsettled: true })
  }
  return [...copies.values()]
}
