import { PROTOCOL_VERSION } from '@figloom/protocol'
import type { ClientSettings } from '@figloom/settings'
import type { Environment } from '../environment.js'
import { ExitCode } from '../exit-codes.js'
import { reportFailure, type Report } from '../output/report.js'
import { askDaemon } from '../platform/daemons.js'

/** `figloom explain ROUTE`: how a route is served at present. */
export async function explain (environment: Environment, settings: ClientSettings, route: string): Promise<Report> {
  const answer = await askDaemon(environment, settings.daemon, (daemon, options) => daemon.explain({ protocolVersion: PROTOCOL_VERSION, route }, options))
  return answer.match(({ explanationJson }) => reportExplanation(route, explanationJson), (failure) => reportFailure(failure))
}

function reportExplanation (route: string, explanationJson: string): Report {
  if (explanationJson === '') return { exitCode: ExitCode.Invalid, json: { outcome: 'no-such-route', route }, lines: [`no route is named ${route}`] }
  const explanation: unknown = JSON.parse(explanationJson)
  return { exitCode: ExitCode.Done, json: explanation, lines: JSON.stringify(explanation, null, 2).split('\n') }
}
