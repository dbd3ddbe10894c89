/** `figloom explain-request ID FILE...`: timeline of one request across hosts, from logs that were collected into files. */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { ExitCode } from '../exit-codes.js'
import { parseLogLine, type LogLine } from '../logs/log-line.js'
import { findCauses } from '../logs/request-cause.js'
import { buildTimeline, type RequestTimeline, type TimelineEntry } from '../logs/request-timeline.js'
import { reportDone, type Report } from '../output/report.js'

export async function explainRequest (operands: readonly string[]): Promise<Report> {
  const [requestId = '', ...paths] = operands
  const lines: LogLine[] = []
  for (const path of paths) {
    try {
      await readLines(path, lines)
    } catch (error) {
      const reason = (error as Error).message
      return { exitCode: ExitCode.Invalid, json: { outcome: 'unreadable', path, reason }, lines: [`cannot read ${path}: ${reason}`] }
    }
  }
  const timeline = buildTimeline(lines, requestId)
  if (timeline === undefined) return reportUnknown(requestId, lines.length)
  return reportTimeline(timeline)
}

async function readLines (path: string, lines: LogLine[]): Promise<void> {
  for await (const text of createInterface({ input: createReadStream(path), crlfDelay: Infinity })) {
    const line = parseLogLine(text)
    if (line !== undefined) lines.push(line)
  }
}

function reportUnknown (requestId: string, lineCount: number): Report {
  const hint = 'hosts log every failed request up to a rate limit, and a sample of the answered ones'
  return {
    exitCode: ExitCode.Invalid,
    json: { outcome: 'no-such-request', requestId, lineCount },
    lines: [`none of ${lineCount} log lines mentions request ${requestId}; ${hint}`]
  }
}

function reportTimeline (timeline: RequestTimeline): Report {
  const causes = findCauses(timeline)
  const lines = timeline.lines.map(({ atUnixMs, own, clockKnown, line }) => ({
    at: new Date(atUnixMs), own, clockKnown, host: line.host, message: line.message, fields: Object.fromEntries(line.fields)
  }))
  const text = [...timeline.lines.map((line) => formatLine(timeline, line)), ...causes.map((cause) => `cause: ${cause}`)]
  return reportDone({ requestId: timeline.requestId, host: timeline.host, lines, causes }, text)
}

/**
 * Seconds since the request's arrival, host, message and fields. `*` marks the request's own lines; `?` marks a host
 * whose clock offset is unknown, so that its time is only approximate.
 */
function formatLine (timeline: RequestTimeline, { atUnixMs, own, clockKnown, line }: TimelineEntry): string {
  const seconds = ((atUnixMs - timeline.startUnixMs) / 1000).toFixed(3).padStart(8)
  const fields = [...line.fields].filter(([name]) => name !== 'requestId' && name !== 'atMs').map(([name, value]) => `${name}=${value}`)
  return `${seconds}${clockKnown ? ' ' : '?'}${own ? '*' : ' '} ${line.host}  ${line.message}  ${fields.join(' ')}`.trimEnd()
}
