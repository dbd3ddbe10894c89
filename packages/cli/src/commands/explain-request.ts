/** `figloom explain-request ID FILE...`: one request's story across hosts, from logs that were collected into files. */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { ExitCode } from '../exit-codes.js'
import { parseLogLine, type LogLine } from '../logs/log-line.js'
import { findCauses } from '../logs/request-cause.js'
import { tellStory, type RequestStory, type StoryLine } from '../logs/request-story.js'
import { reportDone, type Report } from '../output/report.js'

export async function explainRequest (operands: readonly string[]): Promise<Report> {
  const [requestId = '', ...paths] = operands
  const lines: LogLine[] = []
  for (const path of paths) {
    try {
      await readLines(path, lines)
    } catch (error) {
      const reason = (error as Error).message
      return { exitCode: ExitCode.Invalid, json: { outcome: 'unreadable', path, reason }, lines: [`${path} can't be read: ${reason}`] }
    }
  }
  const story = tellStory(lines, requestId)
  if (story === undefined) return reportUnknown(requestId, lines.length)
  return reportStory(story)
}

async function readLines (path: string, lines: LogLine[]): Promise<void> {
  for await (const text of createInterface({ input: createReadStream(path), crlfDelay: Infinity })) {
    const line = parseLogLine(text)
    if (line !== undefined) lines.push(line)
  }
}

function reportUnknown (requestId: string, lineCount: number): Report {
  const hint = 'hosts write every failed request up to a rate, and a sample of the answered ones'
  return {
    exitCode: ExitCode.Invalid,
    json: { outcome: 'no-such-request', requestId, lineCount },
    lines: [`none of ${lineCount} lines names request ${requestId}: ${hint}`]
  }
}

function reportStory (story: RequestStory): Report {
  const causes = findCauses(story)
  const lines = story.lines.map(({ atUnixMs, own, clockKnown, line }) => ({
    at: new Date(atUnixMs), own, clockKnown, host: line.host, message: line.message, fields: Object.fromEntries(line.fields)
  }))
  const text = [...story.lines.map((line) => formatLine(story, line)), ...causes.map((cause) => `cause: ${cause}`)]
  return reportDone({ requestId: story.requestId, host: story.host, lines, causes }, text)
}

/** Time from the request's arrival in seconds, host, message and fields; `?` marks a clock that nothing ties to the others. */
function formatLine (story: RequestStory, { atUnixMs, own, clockKnown, line }: StoryLine): string {
  const seconds = ((atUnixMs - story.startUnixMs) / 1000).toFixed(3).padStart(8)
  const fields = [...line.fields].filter(([name]) => name !== 'requestId' && name !== 'atMs').map(([name, value]) => `${name}=${value}`)
  return `${seconds}${clockKnown ? ' ' : '?'}${own ? '*' : ' '} ${line.host}  ${line.message}  ${fields.join(' ')}`.trimEnd()
}
