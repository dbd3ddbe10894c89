import { PROTOCOL_VERSION } from '@figloom/protocol'
import type { ClientSettings } from '@figloom/settings'
import type { Environment } from '../environment.js'
import { ExitCode } from '../exit-codes.js'
import { reportDone, reportFailure, type Report } from '../output/report.js'
import { callAnyDaemon } from '../remote/daemons.js'

/** `figloom explain ROUTE`: how a route is served now. */
export async function explain (environment: Environment, settings: ClientSettings, route: string): Promise<Report> {
  const request = { protocolVersion: PROTOCOL_VERSION, route }
  const answer = await callAnyDaemon(environment, settings.daemon, (daemon, options) => daemon.explain(request, options))
  return answer.match(({ explanationJson }) => reportExplanation(route, explanationJson), (failure) => reportFailure(failure))
}

function reportExplanation (route: string, explanationJson: string): Report {
  const missing = { outcome: 'no-such-route', route }
  if (explanationJson === '') return { exitCode: ExitCode.Invalid, json: missing, lines: [`no route is named ${route}`] }
  const explanation: unknown = JSON.parse(explanationJson)
  return reportDone(explanation, JSON.stringify(explanation, null, 2).split('\n'))
}
