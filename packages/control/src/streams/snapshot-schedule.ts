/** Decides when a host re-appends the snapshot of a stream: in the ordinary case one host does, the others see it. */
import type { Clock, Timer } from '@figloom/runtime'
import { hash32 } from '../hashing/hash.js'

export type SnapshotScheduleOptions = {
  /** Name of this host. */
  host: string
  /** Time from one snapshot to the next, in milliseconds; at most a third of the log's retention. */
  everyMs: number
  /** Names of the hosts that may write one. */
  hosts: () => string[]
}

/** Part of the interval over which the hosts' turns are spread. */
const SPREAD = 0.5

/** Timer that starts again whenever a snapshot was read. */
export class SnapshotSchedule {
  #timer: Timer | undefined

  private constructor (
    private readonly clock: Clock,
    private readonly options: SnapshotScheduleOptions,
    private readonly onDue: () => void
  ) {}

  static create (clock: Clock, options: SnapshotScheduleOptions, onDue: () => void): SnapshotSchedule {
    return new SnapshotSchedule(clock, options, onDue)
  }

  /** Counts the interval from now. */
  restart (): void {
    this.stop()
    this.#timer = this.clock.setTimer(snapshotDelayMs(this.options), () => this.onDue())
  }

  stop (): void {
    this.#timer?.cancel()
  }
}

/** Delay of a host after the last snapshot that it read: half the interval for the first in turn, the whole for the last. */
export function snapshotDelayMs (options: SnapshotScheduleOptions): number {
  const hosts = new Set([...options.hosts(), options.host])
  const order = [...hosts].sort((a, b) => hash32(a) - hash32(b) || (a < b ? -1 : 1))
  const turn = order.indexOf(options.host) / order.length
  return options.everyMs * (1 - SPREAD + SPREAD * turn)
}
