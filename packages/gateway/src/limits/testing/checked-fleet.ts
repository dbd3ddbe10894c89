/** Creates a fleet whose hosts have discovered each other, and checks how many requests reach its runner. */
import type { Test } from 'tap'
import { CONTACT_MS } from '../../testing/host-network.js'
import { LIMIT_WINDOW_MS } from '../types.js'
import { LimitedFleet, type FleetOptions } from './limited-fleet.js'

/** Time for the hosts to discover each other before callers send requests. */
const DISCOVERY_MS = 4_000

/** Upper bound of the requests that may reach the runner in one window. */
function maxAllowedPerWindow (limitPerS: number): number {
  return 1.5 * limitPerS * LIMIT_WINDOW_MS / 1_000 + 5
}

export async function createFleet (options: Partial<FleetOptions>): Promise<LimitedFleet> {
  const fleet = LimitedFleet.create({ hosts: 6, seed: 1, demandPerS: 30, maxDelayMs: 10, ...options })
  await fleet.clock.advance(DISCOVERY_MS)
  return fleet
}

/** Makes the runner name a limit from now on; returns the time from which the hosts have to respect it. */
export function setLimit (fleet: LimitedFleet, limitPerS: number | undefined): number {
  fleet.limitPerS = limitPerS
  return fleet.clock.monotonicMs() + CONTACT_MS
}

export function checkUpperBound (t: Test, fleet: LimitedFleet, limitPerS: number, fromMs: number, toMs?: number): void {
  const observed = fleet.maxPerWindow(fromMs, toMs)
  t.ok(observed <= maxAllowedPerWindow(limitPerS), `${observed} of at most ${maxAllowedPerWindow(limitPerS)}`)
}

/** Sets a limit; checks that the hosts together don't exceed it and use at least 60% of it. */
export async function checkLimitIsSharedAndUsed (t: Test, hosts: number, limitPerS: number): Promise<void> {
  const fleet = await createFleet({ hosts, demandPerS: Math.max(10, limitPerS * 3) })
  await fleet.run(2_000)
  const fromMs = setLimit(fleet, limitPerS)
  await fleet.run(CONTACT_MS + Math.max(12_000, 4_000 / limitPerS))
  checkUpperBound(t, fleet, limitPerS, fromMs)
  const usedFromMs = fromMs + 2_000
  const used = fleet.arrivalsBetween(usedFromMs, Infinity)
  const permitted = limitPerS * (fleet.clock.monotonicMs() - usedFromMs) / 1_000
  t.ok(used >= permitted * 0.6, `${used} of ${permitted}`)
}
