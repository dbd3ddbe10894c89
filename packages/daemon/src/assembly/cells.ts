import { DEFAULT_LEASE_SETTINGS, type Membership } from '@figloom/control'
import { CellSet } from '../cells/cell-set.js'
import type { DemandMeter } from '../cells/demand-meter.js'
import { probeService } from '../cells/probe-service.js'
import { RunnerPoller } from '../cells/runner-poller.js'
import type { DaemonContext } from './types.js'

/** Minimum time without an answer after which a runner gets no new work, in milliseconds. */
const MIN_RUNNER_SILENT_MS = 4500

/** Creates this host's cells and the poller of their runners. */
export function createCells (context: DaemonContext, membership: Membership, demand: DemandMeter): { cells: CellSet, poller: RunnerPoller } {
  const { settings, clients, clock } = context
  const poller: RunnerPoller = RunnerPoller.create({
    clock,
    engines: clients.engines,
    probeService,
    host: settings.host.name,
    pollMs: settings.health.reportPollMs,
    timeoutMs: settings.health.reportTimeoutMs,
    silentMs: Math.max(MIN_RUNNER_SILENT_MS, settings.health.unhealthyAfterMs),
    onReport: (polledRunner, report, requestedMs) => cells.onEngineReport(polledRunner, report, requestedMs),
    onPolled: () => {
      cells.refreshExclusions()
      membership.update({ runners: poller.ownLoads((runner) => cells.inFlightOf(runner)) })
    }
  })
  const cells = createCellSet(context, membership, poller, demand)
  return { cells, poller }
}

function createCellSet (context: DaemonContext, membership: Membership, poller: RunnerPoller, demand: DemandMeter): CellSet {
  const { settings, clients, self, clock, ids, logger, random } = context
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
    poller,
    demand,
    membership: () => membership.state(),
    onServedCells: (cells) => membership.update({ cells })
  })
}
