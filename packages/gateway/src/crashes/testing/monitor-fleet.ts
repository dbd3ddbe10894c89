/** Crash monitors of several hosts on a manual clock, with one platform. */
import { ManualClock, Registry, silentLogger } from '@figloom/runtime'
import { InstantSource } from '../../lease/instant.js'
import { CrashRecords, MemoryCrashLog } from '../../testing/memory-crash-log.js'
import { createCrashMetrics } from '../crash-metrics.js'
import { CrashMonitor } from '../crash-monitor.js'
import { Departure, ListenerProbe } from '../types.js'

const PROMPT = ['shared', 'deadly']
const LONG_AGO_MS = -600_000

class RefusedProbe extends ListenerProbe {
  override async isRefused (): Promise<boolean> {
    return true
  }
}

export class MonitorFleet {
  readonly clock = ManualClock.create()
  readonly records = CrashRecords.create()
  readonly monitors: CrashMonitor[] = []
  readonly urgent: number[] = []
  /** Whether hosts know of live peers. */
  livePeers = true
  #requests = 0

  /** Adds a host that has been up for long. @param mayTry whether this host may run trials */
  add (mayTry = false): CrashMonitor {
    return this.#start(this.monitors.length, mayTry, LONG_AGO_MS)
  }

  /** Starts a new process, of a host that was stopped or of another one. */
  restart (stopped?: CrashMonitor): CrashMonitor {
    const index = stopped === undefined ? this.monitors.length : this.monitors.indexOf(stopped)
    return this.#start(index, false, InstantSource.create(this.clock).nowMs())
  }

  #start (index: number, mayTry: boolean, startedMs: number): CrashMonitor {
    const { clock, records, monitors, urgent } = this
    const monitor = CrashMonitor.create({
      clock,
      instants: InstantSource.create(clock),
      log: silentLogger,
      metrics: createCrashMetrics(new Registry()),
      probe: new RefusedProbe(),
      crashLog: MemoryCrashLog.create(records),
      host: `host-${index}`,
      incarnation: `host-${index}/${clock.monotonicMs()}`,
      startedMs,
      random: () => 0.1 + index / 10,
      mayTry: () => mayTry,
      readsThroughPeers: () => false,
      hasLivePeers: () => this.livePeers,
      onUrgent: () => urgent.push(index)
    })
    monitors[index] = monitor
    monitor.start()
    return monitor
  }

  /** A request of this host ends the process of a runner. */
  async crash (monitor: CrashMonitor, partIds: string[] = PROMPT, key?: string, begun = false): Promise<void> {
    this.#requests += 1
    const featureIds = [...partIds, key ?? `request-${this.#requests}`]
    const runner = { id: `runner-${this.#requests}`, address: `10.0.0.${this.#requests}:80`, startedUnixMs: 1 }
    monitor.onSent(runner, { requestId: `r${this.#requests}`, featureIds, attempt: 1, begun })
    monitor.onLeft(runner, `r${this.#requests}`, Departure.Broken)
    await this.clock.advance(400)
  }

  /** A request of this host is answered. */
  answer (monitor: CrashMonitor, partIds: string[], requestId = `r${this.#requests += 1}`, key = `request-${requestId}`): void {
    const runner = { id: 'sound', address: '10.0.1.1:80' }
    monitor.onSent(runner, { requestId, featureIds: [...partIds, key], attempt: 1, begun: false })
    monitor.onBegun(runner, requestId)
    monitor.onLeft(runner, requestId, Departure.Answered)
  }

  exchange (from: CrashMonitor, to: CrashMonitor): void {
    const host = `host-${this.monitors.indexOf(from)}`
    const update = from.update(to.seenOf(host))
    if (update !== undefined) to.receive(host, update)
  }
}
