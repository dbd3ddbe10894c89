/** A fleet whose hosts have met, and the checks of what reaches its runner. */
import type { Test } from 'tap'
import { CONTACT_MS } from '../../testing/host-network.js'
import { LIMIT_WINDOW_MS } from '../types.js'
import { LimitedFleet, type FleetOptions } from './limited-fleet.js'

/** Time in which hosts meet before callers come. */
const MEET_MS = 4_000

/** Requests that may reach the runner in one window. */
function allowed (limitPerS: number): number {
  return 1.5 * limitPerS * LIMIT_WINDOW_MS / 1_000 + 5
}

export async function createFleet (options: Partial<FleetOptions>): Promise<LimitedFleet> {
  const fleet = LimitedFleet.create({ hosts: 6, seed: 1, demandPerS: 30, maxDelayMs: 10, ...options })
  await fleet.clock.advance(MEET_MS)
  return fleet
}

/** From now on the runner names a limit; gives the time from which it is judged. */
export function nameLimit (fleet: LimitedFleet, limitPerS: number | undefined): number {
  fleet.limitPerS = limitPerS
  return fleet.clock.monotonicMs() + CONTACT_MS
}

export function checkMost (t: Test, fleet: LimitedFleet, limitPerS: number, fromMs: number, toMs?: number): void {
  const most = fleet.mostWithin(fromMs, toMs)
  t.ok(most <= allowed(limitPerS), `${most} of at most ${allowed(limitPerS)}`)
}

/** Names a limit for a while; checks that the hosts keep to it together and that the runner is used. */
export async function checkHeld (t: Test, hosts: number, limitPerS: number): Promise<void> {
  const fleet = await createFleet({ hosts, demandPerS: Math.max(10, limitPerS * 3) })
  await fleet.run(2_000)
  const fromMs = nameLimit(fleet, limitPerS)
  await fleet.run(CONTACT_MS + Math.max(12_000, 4_000 / limitPerS))
  checkMost(t, fleet, limitPerS, fromMs)
  const usedFromMs = fromMs + 2_000
  const used = fleet.between(usedFromMs, Infinity)
  const named = limitPerS * (fleet.clock.monotonicMs() - usedFromMs) / 1_000
  t.ok(used >= named * 0.6, `${used} of ${named}`)
}
