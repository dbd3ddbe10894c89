import { DEFAULT_LEASE_SETTINGS, type Membership } from '@figloom/control'
import { CellSet } from '../cells/cell-set.js'
import type { DemandMeter } from '../cells/demand-meter.js'
import { probeService } from '../cells/probe-service.js'
import { RunnerWatch } from '../cells/runner-watch.js'
import type { DaemonFrame } from './types.js'

/** Silence of a runner after which it gets no new work, in milliseconds. */
const RUNNER_SILENT_MS = 4500

/** Creates this host's cells and the watch over their runners. */
export function createCells (frame: DaemonFrame, membership: Membership, demand: DemandMeter): { cells: CellSet, watch: RunnerWatch } {
  const { settings, clients, clock } = frame
  const watch: RunnerWatch = RunnerWatch.create({
    clock,
    engines: clients.engines,
    probeService,
    host: settings.host.name,
    pollMs: settings.health.reportPollMs,
    timeoutMs: settings.health.reportTimeoutMs,
    silentMs: Math.max(RUNNER_SILENT_MS, settings.health.unhealthyAfterMs),
    onReport: (watched, report, askedMs) => cells.takeReport(watched, report, askedMs),
    onChange: () => {
      cells.refreshBars()
      membership.update({ runners: watch.loads((runner) => cells.inFlightOf(runner)) })
    }
  })
  const cells = createCellSet(frame, membership, watch, demand)
  return { cells, watch }
}

function createCellSet (frame: DaemonFrame, membership: Membership, watch: RunnerWatch, demand: DemandMeter): CellSet {
  const { settings, clients, self, clock, ids, logger, random } = frame
  const { placement, lease, host } = settings
  return CellSet.create({
    clock,
    ids,
    logger,
    random,
    log: clients.log,
    engines: clients.engines,
    self,
    region: host.region,
    availabilityZone: host.availabilityZone,
    batchShare: settings.admission.batchShareRatio,
    lease: { ...DEFAULT_LEASE_SETTINGS, leaseMs: lease.durationMs, renewEveryMs: lease.renewEveryMs, marginMs: lease.marginMs },
    limits: {
      loadStartsPerSecond: placement.storeLoadsPerSecond,
      concurrentLoads: placement.storeConcurrentLoads,
      concurrentAdapters: placement.adapterTransitLimit
    },
    transitReserveMiB: 0,
    planEveryMs: placement.planEveryMs,
    horizonMs: placement.horizonMs,
    isControlEnabled: settings.control.enabled,
    watch,
    demand,
    membership: () => membership.state(),
    onCells: (cells) => membership.update({ cells })
  })
}
