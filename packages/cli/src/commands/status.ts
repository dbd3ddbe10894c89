import { toJson } from '@bufbuild/protobuf'
import { PROTOCOL_VERSION, StatusResponseSchema, type CellStatus, type StatusResponse } from '@figloom/protocol'
import type { ClientSettings } from '@figloom/settings'
import type { Environment } from '../environment.js'
import { ExitCode } from '../exit-codes.js'
import { reportFailure, type Report } from '../output/report.js'
import { askDaemon } from '../platform/daemons.js'

/** `figloom status`: hosts with their versions, and cells with their runners, as one daemon sees them. */
export async function status (environment: Environment, settings: ClientSettings): Promise<Report> {
  const answer = await askDaemon(environment, settings.daemon, (daemon, options) => daemon.getStatus({ protocolVersion: PROTOCOL_VERSION }, options))
  return answer.match(reportStatus, (failure) => reportFailure(failure))
}

function reportStatus (answer: StatusResponse): Report {
  const lines = [
    `${answer.host} (${answer.availabilityZone}) version ${answer.configVersion} ${stateOf(answer)}, release ${answer.release}`,
    ...answer.peers.map((peer) => `${peer.host} (${peer.availabilityZone}) version ${peer.configVersion} ${peer.leaving ? 'leaving' : peer.live ? 'live' : 'silent'}, release ${peer.release}`),
    ...answer.cells.flatMap(formatCell)
  ]
  return { exitCode: ExitCode.Done, json: toJson(StatusResponseSchema, answer, { alwaysEmitImplicit: true }), lines }
}

function stateOf ({ ready, leaving }: StatusResponse): string {
  if (leaving) return 'leaving'
  return ready ? 'ready' : 'not ready'
}

function formatCell ({ cell, holder, runners }: CellStatus): string[] {
  const lines = runners.map((runner) => {
    const state = runner.draining ? 'draining' : runner.healthy ? 'healthy' : 'unhealthy'
    return `  ${runner.runner} ${state}, ${runner.reservedMib} of ${runner.memoryMib} MiB, ${runner.unsettledOrders} orders open: ${runner.resident.join(' ')}`
  })
  return [`cell ${cell}, lease held by ${holder === '' ? 'nobody' : holder}`, ...lines]
}
