/** Memory at the peak of a change: whether the new copies can become resident before the old ones leave. */
import type { Pool, Tables } from '../types.js'
import { rowKey } from '../rows/rows.js'
import type { TableIssue } from './check.js'
import { groupRoutes, indexPools, isModelRoute, neededCopies, routeCopyKey, type CopyNeed } from './copies.js'
import { packItems } from './packing.js'
import { StepwisePlanner, type PeakStep } from './stepwise.js'

/** How a change gets through with the memory that there is. */
export const PeakMode = { SideBySide: 'side-by-side', Stepwise: 'stepwise' } as const
export type PeakMode = (typeof PeakMode)[keyof typeof PeakMode]

/** A way through the change, or the faults that bar it. */
export type PeakPlan = {
  mode: PeakMode
  /** Steps of the pools whose old and new copies do not fit side by side; empty if all do. */
  steps: PeakStep[]
  issues: TableIssue[]
}

/**
 * Plans the change of the named pools. Old and new copies side by side need no order of steps. Otherwise a sequence
 * is sought in which each routed model keeps a resident copy throughout; it starts from a packing of the old copies,
 * since the tables do not say what is resident where.
 */
export function planPeak (before: Tables, after: Tables, pools: ReadonlySet<string>): PeakPlan {
  const changes = readChanges([...pools].sort(), before, after)
  const tight = changes.filter((change) => !fitsSideBySide(change))
  if (tight.length === 0) return { mode: PeakMode.SideBySide, steps: [], issues: [] }
  const planner = StepwisePlanner.create(tight, successorsOf(before, after))
  const { steps, stuck } = planner.run()
  return { mode: PeakMode.Stepwise, steps, issues: stuck.map(describeStuck) }
}

/** One pool before and after a change, with the copies that routes need. */
export type PoolChange = {
  name: string
  before: Pool | undefined
  after: Pool | undefined
  oldCopies: CopyNeed[]
  newCopies: CopyNeed[]
}

function readChanges (names: readonly string[], before: Tables, after: Tables): PoolChange[] {
  const readOld = readSide(before)
  const readNew = readSide(after)
  return names.map((name) => {
    const { pool: oldPool, copies: oldCopies } = readOld(name)
    const { pool: newPool, copies: newCopies } = readNew(name)
    return { name, before: oldPool, after: newPool, oldCopies, newCopies }
  })
}

type Side = { pool: Pool | undefined, copies: CopyNeed[] }

function readSide (tables: Tables): (name: string) => Side {
  const pools = indexPools(tables)
  const routes = groupRoutes(tables.routes)
  return (name) => {
    const pool = pools.get(name)
    return { pool, copies: pool === undefined ? [] : neededCopies(pool, routes.get(name) ?? []) }
  }
}

/** Whether the union of old and new copies fits on the runners that stay. */
function fitsSideBySide ({ after, oldCopies, newCopies }: PoolChange): boolean {
  if (newCopies.length === 0) return true
  const union = new Map(oldCopies.map((copy) => [copy.key, copy]))
  for (const copy of newCopies) {
    const sizeMiB = Math.max(copy.sizeMiB, union.get(copy.key)?.sizeMiB ?? 0)
    union.set(copy.key, { ...copy, sizeMiB })
  }
  const bins = (after?.runners ?? []).map(({ name, memoryMiB }) => ({ runner: name, freeMiB: memoryMiB }))
  return packItems([...union.values()], bins).unplaced.length === 0
}

/** For each old copy the copies that its routes move to; the old one may leave once all of them are resident. */
function successorsOf (before: Tables, after: Tables): Map<string, Set<string>> {
  const targets = new Map(after.routes.filter(isModelRoute).map((route) => [route.name, routeCopyKey(route)]))
  const successors = new Map<string, Set<string>>()
  for (const route of before.routes.filter(isModelRoute)) {
    const target = targets.get(route.name)
    const old = routeCopyKey(route)
    if (target === undefined || target === old) continue
    successors.set(old, (successors.get(old) ?? new Set()).add(target))
  }
  return successors
}

function describeStuck ({ pool, model, version, sizeMiB }: CopyNeed): TableIssue {
  const message = `no room at the peak of the change: ${sizeMiB} MiB for ${model} version ${version} in pool ${pool} are free ` +
    'neither beside the copies that must stay resident nor after single steps'
  return { row: rowKey({ row: 'model', pool, name: model, version }), field: 'version', message }
}
