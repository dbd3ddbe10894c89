import { toJson } from '@bufbuild/protobuf'
import { StatusResponseSchema, type CellStatus, type PeerStatus, type StatusResponse } from '@figloom/protocol'
import type { ClientSettings } from '@figloom/settings'
import type { Environment } from '../environment.js'
import { reportDone, reportFailure, type Report } from '../output/report.js'
import { fetchStatus } from '../remote/daemons.js'

/** `figloom status`: hosts with their versions, and cells with their runners, as reported by one daemon. */
export async function status (environment: Environment, settings: ClientSettings): Promise<Report> {
  const answer = await fetchStatus(environment, settings.daemon)
  return answer.match(reportStatus, (failure) => reportFailure(failure))
}

function reportStatus (answer: StatusResponse): Report {
  const lines = [
    `${answer.host} (${answer.availabilityZone}) version ${answer.configVersion} ${stateOf(answer)}, release ${answer.release}`,
    ...answer.peers.map(formatPeer),
    ...answer.cells.flatMap(formatCell)
  ]
  return reportDone(toJson(StatusResponseSchema, answer, { alwaysEmitImplicit: true }), lines)
}

function stateOf ({ ready, leaving }: StatusResponse): string {
  if (leaving) return 'leaving'
  return ready ? 'ready' : 'not ready'
}

function formatPeer ({ host, availabilityZone, configVersion, live, leaving, release }: PeerStatus): string {
  const state = leaving ? 'leaving' : live ? 'live' : 'silent'
  return `${host} (${availabilityZone}) version ${configVersion} ${state}, release ${release}`
}

function formatCell ({ cell, holder, runners }: CellStatus): string[] {
  const lines = runners.map((runner) => {
    const state = runner.draining ? 'draining' : runner.healthy ? 'healthy' : 'unhealthy'
    const memory = `${runner.reservedMib} of ${runner.memoryMib} MiB`
    return `  ${runner.runner} ${state}, ${memory}, ${runner.unsettledOrders} orders pending, resident: ${runner.resident.join(' ')}`
  })
  return [`cell ${cell}, lease held by ${holder === '' ? 'nobody' : holder}`, ...lines]
}
