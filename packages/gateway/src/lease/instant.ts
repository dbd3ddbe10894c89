/**
 * Elapsed time that also counts while a host is suspended. A steady clock stands still then, and the time of day may
 * jump, so the largest of the three differences counts: a lease may look older than it is, but never younger.
 */
import { uptime } from 'node:os'
import type { Clock } from '@figloom/runtime'

export type Instant = { steadyMs: number, wallMs: number, bootMs: number }

/** Time since the machine's start, suspension included. */
export type BootClock = () => number

export const systemBootClock: BootClock = () => uptime() * 1000

export class InstantSource {
  private constructor (private readonly clock: Clock, private readonly bootMs: BootClock) {}

  static create (clock: Clock, bootMs: BootClock): InstantSource {
    return new InstantSource(clock, bootMs)
  }

  now (): Instant {
    return { steadyMs: this.clock.monotonicMs(), wallMs: this.clock.now().getTime(), bootMs: this.bootMs() }
  }

  /** Milliseconds since `instant` at the most. */
  elapsedMs (instant: Instant): number {
    const now = this.now()
    return Math.max(now.steadyMs - instant.steadyMs, now.wallMs - instant.wallMs, now.bootMs - instant.bootMs)
  }
}
