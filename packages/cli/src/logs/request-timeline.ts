/** Collects the log lines of one request, and those about the same runners, model, leases and store at that time, on one clock. */
import { HostClocks } from './host-clocks.js'
import { numberOf, textOf, type LogLine } from './log-line.js'

/**
 * A log line with the time of the event that it reports, on the clock of the host that accepted the request. `own`: the
 * line belongs to the request itself. `clockKnown`: the offset between the two hosts' clocks is known.
 */
export type TimelineEntry = { atUnixMs: number, own: boolean, clockKnown: boolean, line: LogLine }

export type RequestTimeline = {
  requestId: string
  host: string
  model: string | undefined
  adapter: string | undefined
  startUnixMs: number
  endUnixMs: number
  /** Sorted by time. */
  lines: TimelineEntry[]
}

/** A load takes up to about ten seconds, so the events that led to a refusal may date back that far. */
const CONTEXT_BEFORE_MS = 12_000
const CONTEXT_AFTER_MS = 1_500
const LEASE_MESSAGES: readonly string[] = ['order lease taken', 'order lease given up: it could not be renewed', 'order lease lost', 'order lease released', 'order lease proved in the new era']
/** The platform's store lost what was written in its last seconds. */
export const STORE_REWOUND = 'the store came back from an older copy'
const HOST_MESSAGES: readonly string[] = [
  'store does not answer', 'store answers again', STORE_REWOUND, 'configuration in force', 'gateway started', 'gateway is leaving', 'gateway stopped', 'log lines dropped'
]

/** Builds the timeline of a request; undefined if no line mentions it. */
export function buildTimeline (lines: readonly LogLine[], requestId: string): RequestTimeline | undefined {
  const own = lines.filter((line) => textOf(line, 'requestId') === requestId)
  const first = own[0]
  if (first === undefined) return undefined
  const clocks = HostClocks.create(lines, first.host)
  const ownLines = own.map((line) => ({ atUnixMs: decidedAtUnixMs(line, own, clocks), own: true, clockKnown: true, line }))
  const startUnixMs = Math.min(...ownLines.map(({ atUnixMs }) => atUnixMs))
  const endUnixMs = Math.max(...ownLines.map(({ atUnixMs }) => atUnixMs))
  const subject = subjectOf(own)
  const related = lines.filter((line) => textOf(line, 'requestId') === undefined && isRelevant(line, subject))
    .map((line) => toTimelineEntry(line, clocks))
    .filter(({ atUnixMs }) => atUnixMs >= startUnixMs - CONTEXT_BEFORE_MS && atUnixMs <= endUnixMs + CONTEXT_AFTER_MS)
  const all = [...ownLines, ...related].sort((a, b) => a.atUnixMs - b.atUnixMs)
  return { requestId, host: first.host, model: subject.model, adapter: subject.adapter, startUnixMs, endUnixMs, lines: all }
}

/** Time of the decision that a line reports. A request's lines are written together when it ends; `atMs` is the time of each since its start. */
function decidedAtUnixMs (line: LogLine, own: readonly LogLine[], clocks: HostClocks): number {
  const writtenMs = clocks.toReferenceMs(line) ?? line.writtenUnixMs
  const atMs = numberOf(line, 'atMs')
  if (atMs === undefined) return writtenMs
  const totalMs = Math.max(...own.filter(({ host }) => host === line.host).map((other) => numberOf(other, 'atMs') ?? 0))
  return writtenMs - (totalMs - atMs)
}

type Subject = { host: string, runners: ReadonlySet<string>, model: string | undefined, adapter: string | undefined, blockedPart: string | undefined, blockedKey: string | undefined }

function subjectOf (own: readonly LogLine[]): Subject {
  const find = (name: string) => own.map((line) => textOf(line, name)).find((value) => value !== undefined)
  const runners = new Set(own.flatMap((line) => textOf(line, 'runner') ?? []))
  return { host: own[0]?.host ?? '', runners, model: find('model'), adapter: find('adapter'), blockedPart: find('part'), blockedKey: find('key') }
}

function isRelevant (line: LogLine, { host, runners, model, blockedPart, blockedKey }: Subject): boolean {
  if (blockedPart !== undefined && textOf(line, 'part') === blockedPart) return true
  if (blockedKey !== undefined && textOf(line, 'key') === blockedKey) return true
  const runner = textOf(line, 'runner')
  if (runner !== undefined && runners.has(runner)) return true
  if (LEASE_MESSAGES.includes(line.message)) return true
  if (line.host === host && HOST_MESSAGES.includes(line.message)) return true
  if (model === undefined) return false
  if (line.message === 'placement') return textOf(line, 'models')?.includes(`${model} `) === true
  return line.message === 'order given' && textOf(line, 'model') === model
}

function toTimelineEntry (line: LogLine, clocks: HostClocks): TimelineEntry {
  const atUnixMs = clocks.toReferenceMs(line)
  return { atUnixMs: atUnixMs ?? line.writtenUnixMs, own: false, clockKnown: atUnixMs !== undefined, line }
}
