import { PROTOCOL_VERSION, type DrainResponse } from '@figloom/protocol'
import type { ClientSettings } from '@figloom/settings'
import type { Environment } from '../environment.js'
import { ExitCode } from '../exit-codes.js'
import { reportFailure, type Report } from '../output/report.js'
import { callAnyDaemon } from '../remote/daemons.js'

/** `figloom drain HOST|RUNNER`: stops new work to the target. Idempotent. */
export async function drain (environment: Environment, settings: ClientSettings, target: string): Promise<Report> {
  const request = { protocolVersion: PROTOCOL_VERSION, target }
  const answer = await callAnyDaemon(environment, settings.daemon, (daemon, options) => daemon.drain(request, options))
  return answer.match((response) => reportDrain(target, response), (failure) => reportFailure(failure))
}

function reportDrain (target: string, { resultCode, message }: DrainResponse): Report {
  const done = resultCode === 0
  const note = message === '' ? '' : `: ${message}`
  return {
    exitCode: done ? ExitCode.Done : ExitCode.Invalid,
    json: { outcome: done ? 'draining' : 'refused', target, resultCode, message },
    lines: [done ? `${target} accepts no new work${note}` : `${target} could not be drained (code ${resultCode})${note}`]
  }
}
