import type { StatusResponse } from '@figloom/protocol'
import type { ClientSettings } from '@figloom/settings'
import type { Environment } from '../environment.js'
import { ExitCode } from '../exit-codes.js'
import type { Report } from '../output/report.js'
import { fetchStatus } from '../remote/daemons.js'

/** Waits until a version is in force on every live host, and adds the result to the report `accepted`. */
export async function waitInForce (
  environment: Environment,
  settings: ClientSettings['daemon'],
  version: number,
  accepted: Report
): Promise<Report> {
  const { clock, signal } = environment
  const startedMs = clock.monotonicMs()
  for (;;) {
    const status = await fetchStatus(environment, settings)
    const outdated = status.isOk() ? outdatedHosts(status.value, version) : undefined
    const elapsedMs = Math.round(clock.monotonicMs() - startedMs)
    if (outdated?.length === 0) {
      return extendReport(accepted, ExitCode.Done, { inForce: true, elapsedMs }, `in force on every host after ${elapsedMs} ms`)
    }
    if (signal.aborted || elapsedMs + settings.pollMs > settings.inForceTimeoutMs) {
      const missing = outdated === undefined ? 'no daemon answered' : `pending on ${outdated.join(', ')}`
      const json = { inForce: false, elapsedMs, hostsBehind: outdated ?? [] }
      return extendReport(accepted, ExitCode.NotInForce, json, `not yet in force everywhere: ${missing}`)
    }
    await clock.sleep(settings.pollMs, signal)
  }
}

/** Hosts that have an older version. Hosts that are leaving or don't respond are not waited for. */
function outdatedHosts (status: StatusResponse, version: number): string[] {
  const peers = status.peers.filter(({ live, leaving }) => live && !leaving)
  return [status, ...peers].filter(({ configVersion }) => configVersion < version).map(({ host }) => host)
}

function extendReport (report: Report, exitCode: ExitCode, json: object, line: string): Report {
  return { exitCode, json: { ...report.json as object, ...json }, lines: [...report.lines, line] }
}
