/** Checks whether memory allows a change: new copies must become resident before the old copies are unloaded. */
import type { Pool, Tables } from '../types.js'
import { rowKey } from '../rows/rows.js'
import type { TableIssue } from './check.js'
import { groupRoutes, indexPools, isModelRoute, requiredCopies, routeCopyKey, type RequiredCopy } from './copies.js'
import { packItems } from './packing.js'
import { StepwisePlanner, type TransitionStep } from './stepwise.js'

/**
 * How a change can be carried out in the available memory: with old and new copies resident at the same time, or by
 * loading and unloading in steps.
 */
export const TransitionMode = { SideBySide: 'side-by-side', Stepwise: 'stepwise' } as const
export type TransitionMode = (typeof TransitionMode)[keyof typeof TransitionMode]

/** Plan of a change, or the issues that rule it out. */
export type TransitionPlan = {
  mode: TransitionMode
  /** Steps for the pools whose old and new copies do not fit in memory together; empty if all do. */
  steps: TransitionStep[]
  issues: TableIssue[]
}

/**
 * Plans the change of the named pools. If old and new copies fit in memory together, the order of steps does not
 * matter. Otherwise it searches for a sequence in which each routed model has a resident copy at all times. The search
 * starts from a packing of the old copies, since the tables do not say which runner holds which copy.
 */
export function planTransition (before: Tables, after: Tables, pools: ReadonlySet<string>): TransitionPlan {
  const changes = listPoolChanges([...pools].sort(), before, after)
  const constrained = changes.filter((change) => !fitsSideBySide(change))
  if (constrained.length === 0) return { mode: TransitionMode.SideBySide, steps: [], issues: [] }
  const planner = StepwisePlanner.create(constrained, successorsOf(before, after))
  const { steps, unplaced } = planner.run()
  return { mode: TransitionMode.Stepwise, steps, issues: unplaced.map(describeUnplaced) }
}

/** A pool before and after a change, with the copies that routes require. */
export type PoolChange = {
  name: string
  before: Pool | undefined
  after: Pool | undefined
  oldCopies: RequiredCopy[]
  newCopies: RequiredCopy[]
}

function listPoolChanges (names: readonly string[], before: Tables, after: Tables): PoolChange[] {
  const readBefore = createPoolReader(before)
  const readAfter = createPoolReader(after)
  return names.map((name) => {
    const { pool: oldPool, copies: oldCopies } = readBefore(name)
    const { pool: newPool, copies: newCopies } = readAfter(name)
    return { name, before: oldPool, after: newPool, oldCopies, newCopies }
  })
}

type PoolState = { pool: Pool | undefined, copies: RequiredCopy[] }

function createPoolReader (tables: Tables): (name: string) => PoolState {
  const pools = indexPools(tables)
  const routes = groupRoutes(tables.routes)
  return (name) => {
    const pool = pools.get(name)
    return { pool, copies: pool === undefined ? [] : requiredCopies(pool, routes.get(name) ?? []) }
  }
}

/** Whether old and new copies together fit on the runners that remain after the change. */
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

/** For each old copy, the copies that its routes move to. The old copy may be unloaded once all of them are resident. */
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

function describeUnplaced ({ pool, model, version, sizeMiB }: RequiredCopy): TableIssue {
  const message = `no room at the peak of the change: ${sizeMiB} MiB for ${model} version ${version} in pool ${pool} are free ` +
    'neither beside the copies that must stay resident nor after single steps'
  return { row: rowKey({ row: 'model', pool, name: model, version }), field: 'version', message }
}
