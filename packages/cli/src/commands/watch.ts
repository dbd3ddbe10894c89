import type { ClientSettings } from '@figloom/settings'
import type { Environment } from '../environment.js'
import { ExitCode } from '../exit-codes.js'
import { printReport, type Report } from '../output/report.js'
import { status } from './status.js'

/** `figloom watch`: prints the status whenever it changes, until it is interrupted. */
export async function watch (environment: Environment, settings: ClientSettings, asJson: boolean): Promise<Report> {
  const { clock, output, signal } = environment
  let last: string | undefined
  while (!signal.aborted) {
    const report = await status(environment, settings)
    const text = asJson ? JSON.stringify(withoutLogAge(report)) : report.lines.join('\n')
    if (text !== last && !signal.aborted) printReport(output, report, asJson)
    last = text
    await clock.sleep(settings.daemon.pollMs, signal)
  }
  return { exitCode: ExitCode.Done, json: { outcome: 'interrupted' }, lines: [] }
}

/** Leaves out the age of the log's last answer, which differs in every status. */
function withoutLogAge (report: Report): unknown {
  return { ...report.json as object, logAgeMs: undefined }
}
