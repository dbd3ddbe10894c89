import type { ConfigFollower, Membership, MembershipView } from '@figloom/control'
import { Liveness } from '@figloom/control'
import { PROTOCOL_VERSION } from '@figloom/protocol'
import { ResultCode } from '@figloom/runtime'
import type { ConfigState } from '@figloom/tables'
import type { Cell } from '../cells/cell.js'
import type { CellSet } from '../cells/cell-set.js'
import type { HostDirectory } from '../config/host-directory.js'
import type { InnerClients } from '../peers/inner-clients.js'
import { OperatorView } from './operator-view.js'

export type HostOperatorViewOptions = {
  cells: CellSet
  directory: HostDirectory
  membership: Membership
  follower: ConfigFollower<ConfigState>
  clients: InnerClients
  release: string
  availabilityZone: string
  isReady: () => boolean
  /** Removes this host from lookups; it continues to serve requests. */
  leave: () => void
}

const DRAIN_TIMEOUT_MS = 3000

/** Answers operators' requests from this host's state. */
export class HostOperatorView extends OperatorView {
  private constructor (private readonly options: HostOperatorViewOptions) {
    super()
  }

  static create (options: HostOperatorViewOptions): HostOperatorView {
    return new HostOperatorView(options)
  }

  override status () {
    const { membership, follower, release, availabilityZone, isReady, cells } = this.options
    const view = membership.view()
    const { version, logAgeMs } = follower.report()
    return {
      host: view.self,
      availabilityZone,
      release,
      protocolVersion: PROTOCOL_VERSION,
      configVersion: BigInt(version),
      ready: isReady(),
      leaving: view.selfLeaving,
      peers: peerStatuses(view),
      cells: cells.all.map(cellStatus),
      logAgeMs: BigInt(Math.round(logAgeMs ?? 0))
    }
  }

  override explain (route: string): string {
    const { directory, cells } = this.options
    const row = directory.findModel(route) ?? directory.findService(route)
    if (row === undefined) return ''
    const pool = directory.poolOf(row.pool)
    const cell = cells.get(row.pool)
    const hosts = pool === undefined ? [] : cells.hostsOf(pool).map(({ host, availabilityZone, liveness }) => ({ host, availabilityZone, liveness }))
    const runners = cell?.describeRunners(row) ?? []
    return JSON.stringify({ route: row, region: pool?.region, hosts, holder: cell?.view?.holder?.host, runners })
  }

  override async drain (target: string) {
    const { membership, directory, leave, clients } = this.options
    const host = membership.view().hosts.find((known) => known.host === target)
    if (host?.self === true) {
      leave()
      return succeeded(`host ${target} is being removed from lookups`)
    }
    if (host !== undefined) return clients.get(host.innerUrl).drain({ protocolVersion: PROTOCOL_VERSION, target }, { timeoutMs: DRAIN_TIMEOUT_MS })
    if (!directory.hasRunner(target)) return { resultCode: ResultCode.NotFound.code, message: `there is no host or runner named ${target}` }
    membership.drainRunner(target)
    return succeeded(`runner ${target} gets no new work`)
  }
}

function succeeded (message: string) {
  return { resultCode: 0, message }
}

function peerStatuses (view: MembershipView) {
  return view.hosts.filter(({ self }) => !self).map(({ host, availabilityZone, configVersion, liveness, leaving, release }) => ({
    host, availabilityZone, configVersion: BigInt(configVersion), live: liveness === Liveness.Live, leaving, release
  }))
}

function cellStatus (cell: Cell) {
  const { view } = cell
  return {
    cell: cell.pool.name,
    holder: view?.holder?.host ?? '',
    leaseOffset: BigInt(view?.leaseOffset ?? 0),
    runners: (view?.runners ?? []).map((runner) => ({
      runner: runner.name,
      healthy: runner.healthy,
      draining: runner.draining,
      memoryMib: BigInt(Math.round(runner.memoryMiB)),
      reservedMib: BigInt(Math.round(runner.memoryMiB - runner.freeMiB)),
      resident: runner.copies.map(({ model, version }) => `${model}@${version}`),
      unsettledOrders: view?.unsettled.filter(({ order }) => order.runner === runner.name).length ?? 0
    }))
  }
}
