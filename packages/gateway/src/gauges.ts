/** Gauges of a gateway host; their values are read on each request for the metrics page. */
import { Gauge, type Registry } from '@figloom/runtime'

const PACE_QUANTILES = [0, 0.1, 0.5, 0.9, 1] as const

/** Functions that return the present values of the gauges. */
export type GaugeSources = {
  inFlight: () => number
  configVersion: () => number
  runners: () => number
  /** Runners that get few requests since they have just started or recovered. */
  slowStarts: () => number
  /** Pace of each runner in the list; 1 is average. */
  runnerPaces: () => number[]
  liveHosts: () => number
  relay: () => boolean
  holdsLease: () => boolean
  cutOff: () => boolean
  brokenPaths: () => number
  /** Limits in force by runner id. */
  runnerLimits: () => Map<string, number>
  /** Limits on rejected requests in force by runner id. */
  rejectionLimits: () => Map<string, number>
  /** Prompt parts whose requests are not run. */
  blockedParts: () => number
  blockedRequests: () => number
  largestBlockShare: () => number
  storeEra: () => number
  storeRewinds: () => number
}

export function createGauges (registry: Registry, sources: GaugeSources): void {
  const registers = [registry]
  const addGauge = (name: string, help: string, read: () => number) => new Gauge({ name, help, registers, collect () { this.set(read()) } })
  addGauge('figloom_gateway_in_flight', 'Requests of callers under way at this host.', sources.inFlight)
  addGauge('figloom_gateway_config_version', 'Version of the configuration in force.', sources.configVersion)
  addGauge('figloom_gateway_runners', 'Runners in the list.', sources.runners)
  addGauge('figloom_gateway_slow_starts', 'Runners that get few requests since they have just started or recovered.', sources.slowStarts)
  addPaceGauge(registry, sources.runnerPaces)
  addGauge('figloom_gateway_live_hosts', 'Other hosts that are up.', sources.liveHosts)
  addGauge('figloom_gateway_relay', '1 while this host passes on the word of others.', () => sources.relay() ? 1 : 0)
  addGauge('figloom_gateway_holds_lease', '1 while this host holds the lease on orders.', () => sources.holdsLease() ? 1 : 0)
  addGauge('figloom_gateway_cut_off', '1 while this host is cut off from runners that other hosts reach.', () => sources.cutOff() ? 1 : 0)
  addGauge('figloom_gateway_broken_paths', 'Runners that other hosts reach and this one does not.', sources.brokenPaths)
  addGauge('figloom_gateway_blocked_prompt_parts', 'Prompt parts whose requests are not run.', sources.blockedParts)
  addGauge('figloom_gateway_blocked_requests', 'Requests whose content is blocked.', sources.blockedRequests)
  addGauge('figloom_gateway_largest_block_share', 'Largest share of the requests that one block refused, within ten seconds.', sources.largestBlockShare)
  addGauge('figloom_gateway_store_era', 'Era of the platform\'s store; rises when it comes back from an older copy.', sources.storeEra)
  addGauge('figloom_gateway_store_rewinds', 'Rises of the era since this process started.', sources.storeRewinds)
  addRunnerGauge(registry, 'figloom_gateway_runner_limit_per_second', 'Requests a second that a runner takes from all hosts, where it names a limit.', sources.runnerLimits)
  addRunnerGauge(registry, 'figloom_gateway_runner_rejection_limit_per_second', 'Rejected requests a second above which a runner fails, where it names a limit.', sources.rejectionLimits)
}

/** Only runners with a limit have a time series. */
function addRunnerGauge (registry: Registry, name: string, help: string, read: () => Map<string, number>): Gauge {
  return new Gauge({
    name,
    help,
    labelNames: ['runner'],
    registers: [registry],
    collect () {
      this.reset()
      for (const [runner, requestsPerS] of read()) this.set({ runner }, requestsPerS)
    }
  })
}

/** Quantiles instead of a time series for each runner. */
function addPaceGauge (registry: Registry, read: () => number[]): Gauge {
  return new Gauge({
    name: 'figloom_gateway_runner_pace',
    help: 'Pace of the runners by their answers, 1 for an average runner, by quantile over all runners.',
    labelNames: ['quantile'],
    registers: [registry],
    collect () {
      const sorted = read().sort((a, b) => a - b)
      for (const quantile of PACE_QUANTILES) this.set({ quantile }, sorted[Math.floor(quantile * (sorted.length - 1))] ?? 1)
    }
  })
}
