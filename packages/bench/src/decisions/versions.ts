/** The versions that are compared side by side. */
import type { PlanOptions } from '@figloom/placement'
import type { DeciderOptions } from '@figloom/routing'
import type { Cell } from './cell.js'
import { DecidingHost, NaiveHost, type Host } from './hosts.js'
import type { Outcomes } from './outcome.js'

export type Version = {
  name: string
  /** Placement by plan; absent for even static placement. */
  plan?: Partial<PlanOptions>
  createHost: (zone: string, cell: Cell, outcomes: Outcomes, random: () => number) => Host
}

export function deciding (name: string, options: Partial<DeciderOptions> = {}, plan: Partial<PlanOptions> | undefined = {}): Version {
  return { name, plan, createHost: (zone, cell, outcomes, random) => DecidingHost.create(zone, cell, outcomes, random, options) }
}

export const NAIVE: Version = { name: 'naive', createHost: NaiveHost.create }
export const PRESENT: Version = deciding('present')
export const VERSIONS: Version[] = [NAIVE, PRESENT]
