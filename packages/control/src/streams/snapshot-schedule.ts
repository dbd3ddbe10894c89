/** Schedules the snapshots of a stream so that usually one host appends one and the others read it and wait again. */
import type { Clock, Timer } from '@figloom/runtime'
import { hash32 } from '../hashing/hash.js'

export type SnapshotScheduleOptions = {
  /** Name of this host. */
  host: string
  /** Interval between snapshots, in milliseconds; at most a third of the log's retention. */
  everyMs: number
  /** Names of the hosts that may write snapshots. */
  hosts: () => string[]
}

/** Part of the interval over which the hosts are spread. */
const SPREAD_RATIO = 0.5

/** Timer of one host; its owner restarts it whenever it has read a snapshot. */
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

  /** Restarts the interval from now. */
  restart (): void {
    this.stop()
    this.#timer = this.clock.setTimer(snapshotDelayMs(this.options), () => this.onDue())
  }

  stop (): void {
    this.#timer?.cancel()
  }
}

/** Delay of a host after the last snapshot that it read, from half the interval to nearly all of it by the host's turn. */
export function snapshotDelayMs (options: SnapshotScheduleOptions): number {
  const hosts = new Set([...options.hosts(), options.host])
  const order = [...hosts].sort((a, b) => hash32(a) - hash32(b) || (a < b ? -1 : 1))
  const turn = order.indexOf(options.host) / order.length
  return options.everyMs * (1 - SPREAD_RATIO + SPREAD_RATIO * turn)
}
