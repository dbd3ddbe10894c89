/** What this host knows of its path to one runner. State without I/O; times are monotonic milliseconds. */
import type { LocatedRunner } from '../gates/types.js'
import type { HostAddress } from '../members/types.js'
import type { PathListener } from './types.js'

/** Where a runner is, by the list of runners. */
export type RunnerPlace = { service: string, availabilityZone: string }

export type WaitingRequest = { sentMs: number, listener: PathListener, /** Its listener was called. */ isTold: boolean }

export class TrackedRunner {
  /** It was tried, or bytes of it arrived. */
  usedMs = -Infinity
  /** It accepted a connection, or bytes of it arrived. */
  reachedMs = -Infinity
  /** It accepted a probe. Unlike bytes, this shows that new connections work. */
  acceptedMs = -Infinity
  /** Other hosts don't reach it either, or couldn't tell. */
  unconfirmedMs = -Infinity
  /** Since when other hosts reach it and this host doesn't. */
  brokenSinceMs: number | undefined
  /** The host that reached it when the path broke. */
  reachedBy: HostAddress | undefined
  /** Other hosts are being asked. */
  isChecked = false
  isProbed = false
  nextProbeMs = -Infinity
  /** The path counts as direct again from this time on, unless a probe fails before. */
  returnsAtMs = Infinity
  /** Requests on connections of this host, in the order in which they were written. */
  readonly waiting = new Set<WaitingRequest>()

  private constructor (readonly runner: LocatedRunner, readonly place: RunnerPlace) {}

  static create (runner: LocatedRunner, place: RunnerPlace): TrackedRunner {
    return new TrackedRunner(runner, place)
  }

  get isBroken (): boolean {
    return this.brokenSinceMs !== undefined
  }

  /** Last sign that the runner can be reached directly. */
  get seenMs (): number {
    return Math.max(this.reachedMs, this.acceptedMs)
  }

  /** For how long the request that waits the longest has been waiting without a byte of the runner; 0 without requests. */
  silentMs (nowMs: number): number {
    const [oldest] = this.waiting
    return oldest === undefined ? 0 : nowMs - Math.max(oldest.sentMs, this.reachedMs)
  }
}
