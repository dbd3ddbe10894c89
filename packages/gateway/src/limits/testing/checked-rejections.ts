/** Creates a fleet whose hosts know each other and are in use, and checks what its runners had to reject. */
import type { Test } from 'tap'
import { RejectingFleet, type RejectingFleetOptions } from './rejecting-fleet.js'

/** Time for the hosts to discover each other before callers send requests. */
const DISCOVERY_MS = 4_000
const WARM_UP_MS = 2_000

/** Before they name a limit the runners let so many wait that hosts with known loads of some age do not overfill them. */
const DEFAULTS = { hosts: 6, runners: 6, seed: 1, slots: 8, queue: 40, shrunkQueue: 0, meanHoldMs: 150, maxDelayMs: 10 }

/** @param load what callers ask for, as a part of what the slots of all runners can do */
export async function createBusyFleet (load: number, options: Partial<RejectingFleetOptions> = {}): Promise<RejectingFleet> {
  const fleet = RejectingFleet.create({ ...DEFAULTS, ...options, demandPerS: 0 })
  await fleet.clock.advance(DISCOVERY_MS)
  const { runners, slots, meanHoldMs } = { ...DEFAULTS, ...options }
  fleet.demandPerS = load * runners * slots * 1_000 / meanHoldMs
  await fleet.run(WARM_UP_MS)
  return fleet
}

/** Makes all runners name a limit; returns the time. */
export function nameLimit (fleet: RejectingFleet, rejectionsPerS: number | undefined): number {
  fleet.name(rejectionsPerS)
  return fleet.clock.monotonicMs()
}

export function checkRejections (t: Test, fleet: RejectingFleet, rejectionsPerS: number, fromMs: number): void {
  const most = fleet.mostRejections(fromMs)
  t.ok(most < rejectionsPerS || most === 0, `${most} rejections in a second, fewer than ${rejectionsPerS} allowed`)
  t.equal(fleet.falls, 0, 'no runner fails')
}
