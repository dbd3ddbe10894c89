/** Derives from a request's timeline why it ended as it did: the last decision first, then the events that led to it. */
import { numberOf, textOf, type LogLine } from './log-line.js'
import { STORE_REWOUND, type RequestTimeline, type TimelineEntry } from './request-timeline.js'

/** Returns sentences, the most direct cause first. */
export function findCauses (timeline: RequestTimeline): string[] {
  const own = timeline.lines.filter((line) => line.own)
  const end = own.at(-1)?.line
  if (end === undefined) return []
  if (end.message === 'request answered') return ['The request was answered.']
  if (end.message === 'request refused on arrival') return [`Refused on arrival: ${textOf(end, 'reason') ?? 'no reason given'}.`]
  const blocked = lastLine(own, 'request has a blocked prompt part')
  if (blocked !== undefined) return blockedPartCauses(timeline, blocked)
  const blockedContent = lastLine(own, 'request has blocked content')
  if (blockedContent !== undefined) return blockedContentCauses(timeline, blockedContent)
  const result = textOf(end, 'result')
  if (result === 'no_runner') return noRunnerCauses(timeline, own)
  if (result === 'overloaded') return overloadedCauses(timeline, own, end)
  if (result === 'caller_gone') return callerGoneCauses(timeline, own)
  return attemptCauses(timeline, own, end)
}

function blockedPartCauses (timeline: RequestTimeline, blocked: LogLine): string[] {
  const part = textOf(blocked, 'part')
  const event = timeline.lines.find(({ line }) => line.message === 'prompt part is blocked' && textOf(line, 'part') === part)
  return [`Prompt part ${part} is blocked: ${textOf(blocked, 'reason')}. ${blockedOutcome(blocked)}`, ...blockEvents(timeline, event), ...runnerEvents(timeline)]
}

function blockedContentCauses (timeline: RequestTimeline, blocked: LogLine): string[] {
  const key = textOf(blocked, 'key')
  const event = timeline.lines.find(({ line }) => line.message === 'request content is blocked' && textOf(line, 'key') === key)
  return [`Requests with its method, path and body (${key}) are blocked: ${textOf(blocked, 'reason')}. ${blockedOutcome(blocked)}`, ...blockEvents(timeline, event), ...runnerEvents(timeline)]
}

function blockedOutcome (blocked: LogLine): string {
  return textOf(blocked, 'ran') === 'unknown' ? 'It had been sent and may have run.' : 'It has not run.'
}

/** Who blocked it when, and which processes had ended. */
function blockEvents (timeline: RequestTimeline, event: TimelineEntry | undefined): string[] {
  if (event === undefined) return []
  return [`Blocked by ${textOf(event.line, 'from')}, ${timeRelativeToEnd(timeline, event)}; processes that ended: ${textOf(event.line, 'processes')}.`]
}

/** What the request was waiting for when its caller left. */
function callerGoneCauses (timeline: RequestTimeline, own: readonly TimelineEntry[]): string[] {
  const last = own.at(-2)
  const cause = 'The caller closed its connection before the end.'
  if (last === undefined) return [cause]
  const waited = secondsBeforeEnd(timeline, last)
  const runner = textOf(last.line, 'runner')
  if (last.line.message === 'sent to a runner') return [`${cause} It had waited for ${runner} for ${waited} s.`, ...runnerEvents(timeline)]
  if (last.line.message === 'waits for a load') return [`${cause} It had waited for a load of ${timeline.model} for ${waited} s.`, ...placementCauses(timeline)]
  return [cause]
}

function noRunnerCauses (timeline: RequestTimeline, own: readonly TimelineEntry[]): string[] {
  const choice = lastLine(own, 'no runner can take the request')
  const listed = choice === undefined ? undefined : numberOf(choice, 'listed')
  if (listed === 0) return ['The host knew no runner of the service.', ...storeCauses(timeline)]
  const adapterRequests = own.filter(({ line }) => line.message === 'adapter asked for')
  if (adapterRequests.length > 0) return adapterCauses(timeline, adapterRequests)
  if (timeline.model === undefined) return ['No runner of the service could be reached.', ...storeCauses(timeline)]
  return [...leavingCauses(own), `None of ${listed ?? 'the'} runners held ${timeline.model}.`, ...runnerEvents(timeline), ...placementCauses(timeline)]
}

/** Runners that held the requested model and had announced that they leave. */
function leavingCauses (own: readonly TimelineEntry[]): string[] {
  const leaving = own.filter(({ line }) => line.message === 'runner is closed' && textOf(line, 'by') === 'leaving')
  return leaving.map(({ line }) => `${textOf(line, 'runner')} had announced that it leaves.`)
}

function adapterCauses (timeline: RequestTimeline, adapterRequests: readonly TimelineEntry[]): string[] {
  const name = `${timeline.model}/${timeline.adapter}`
  const causes = [`Runners hold ${timeline.model}, but ${name} could not be loaded on them in time.`]
  const runners = new Set(adapterRequests.flatMap(({ line }) => textOf(line, 'runner') ?? []))
  for (const runner of runners) {
    const busy = timeline.lines.filter(({ line, atUnixMs }) => isModelOrder(line, runner) && atUnixMs <= timeline.endUnixMs).at(-1)?.line
    if (busy !== undefined) causes.push(`${runner} had been sent the order ${textOf(busy, 'kind')} ${textOf(busy, 'model')}; it accepts no other order until that one has ended.`)
  }
  return [...causes, ...leaseCauses(timeline)]
}

function isModelOrder (line: LogLine, runner: string): boolean {
  return line.message === 'order given' && textOf(line, 'runner') === runner && textOf(line, 'adapter') === undefined
}

function overloadedCauses (timeline: RequestTimeline, own: readonly TimelineEntry[], end: LogLine): string[] {
  const choice = lastLine(own, 'no runner can take the request')
  const full = choice === undefined ? 0 : numberOf(choice, 'full') ?? 0
  const closed = own.filter(({ line }) => line.message === 'runner is closed' && textOf(line, 'by') !== 'leaving')
  if (full === 0 && closed.length > 0) return [...closed.map(({ line }) => closedCause(line)), ...runnerEvents(timeline), ...placementCauses(timeline)]
  if (full === 0) return [`Refused without having run: ${textOf(end, 'reason')}.`, ...runnerEvents(timeline)]
  return [`All ${full} runners that hold the requested model or adapter were full.`, ...placementCauses(timeline)]
}

function closedCause (line: LogLine): string {
  if (textOf(line, 'by') === 'limit') return limitCause(line)
  const opensInS = ((numberOf(line, 'opensInMs') ?? 0) / 1000).toFixed(1)
  return `${textOf(line, 'runner')} had refused a request of this host and asked for a pause, which lasted another ${opensInS} s.`
}

function limitCause (line: LogLine): string {
  const receivedAgoS = ((numberOf(line, 'limitHeardAgoMs') ?? 0) / 1000).toFixed(1)
  return `${textOf(line, 'runner')} accepts ${numberOf(line, 'limitPerS')} requests per second from all hosts by its limit signal, received ${receivedAgoS} s before; no permit was left.`
}

/** The last placement decision and the last order for the model before the request ended. */
function placementCauses (timeline: RequestTimeline): string[] {
  const before = timeline.lines.filter(({ own, atUnixMs }) => !own && atUnixMs <= timeline.endUnixMs)
  const placement = before.filter(({ line }) => line.message === 'placement').at(-1)
  const order = before.filter(({ line }) => line.message === 'order given' && textOf(line, 'model') === timeline.model && textOf(line, 'adapter') === undefined).at(-1)
  const causes: string[] = []
  const entry = placement === undefined ? undefined : modelEntry(placement.line, timeline.model)
  if (placement !== undefined && entry !== undefined) causes.push(`Placement ${secondsBeforeEnd(timeline, placement)} s before: ${entry}.`)
  if (order !== undefined) {
    const { line } = order
    causes.push(`Last order for the model, ${secondsBeforeEnd(timeline, order)} s before: ${textOf(line, 'kind')} at ${textOf(line, 'runner')}, ${textOf(line, 'answer')}.`)
  } else if (timeline.model !== undefined) causes.push('No order for the model was sent in the seconds before.')
  return [...causes, ...leaseCauses(timeline)]
}

function modelEntry (placement: LogLine, model: string | undefined): string | undefined {
  return textOf(placement, 'models')?.split(', ').find((entry) => entry.startsWith(`${model} `))
}

/** The last change of the order lease: while no host holds it, no orders are sent to runners. */
function leaseCauses (timeline: RequestTimeline): string[] {
  const lease = timeline.lines.filter(({ line, atUnixMs }) => line.message.startsWith('order lease') && atUnixMs <= timeline.endUnixMs).at(-1)
  if (lease === undefined) return []
  const { line } = lease
  const waitMs = numberOf(line, 'ordersInMs')
  const wait = waitMs === undefined ? '' : `, orders allowed ${Math.round(waitMs)} ms later`
  return [`${capitalize(line.message)} by ${line.host} ${secondsBeforeEnd(timeline, lease)} s before${wait}.`]
}

function attemptCauses (timeline: RequestTimeline, own: readonly TimelineEntry[], end: LogLine): string[] {
  const result = textOf(end, 'result') ?? 'failed'
  const sent = lastLine(own, 'sent to a runner')
  const runner = sent === undefined ? undefined : textOf(sent, 'runner')
  const attempt = lastLine(own, 'attempt ended')
  const reason = (attempt === undefined ? undefined : textOf(attempt, 'reason')) ?? textOf(end, 'reason')
  if (runner === undefined) return [`Ended with ${result}: ${reason}.`, ...storeCauses(timeline)]
  const refused = own.some(({ line }) => line.message === 'repeat refused by the budget')
  const budget = refused ? ['It was not retried: the retry budget was used up.'] : []
  const unknown = result === 'backend_timeout' || result === 'backend_failed' ? ['It may have run.'] : []
  return [`Ended with ${result} at ${runner}: ${reason}.`, ...unknown, ...budget, ...runnerEvents(timeline)]
}

const RUNNER_EVENTS: readonly string[] = ['runner left the list', 'runner drains', 'runner is gone', 'runner gave no report', 'runner says that it leaves', 'runner asks for a pause', 'runner names a limit', 'limit of a runner changed', 'limit of a runner ended', 'runner ended with unfinished requests']

function runnerEvents (timeline: RequestTimeline): string[] {
  const seen = new Set<string>()
  return timeline.lines.flatMap((entry) => {
    const { line, own } = entry
    const runner = textOf(line, 'runner')
    if (own || runner === undefined || !RUNNER_EVENTS.includes(line.message)) return []
    const key = `${line.message} ${runner}`
    if (seen.has(key)) return []
    seen.add(key)
    return [`${capitalize(line.message)}: ${runner}, ${timeRelativeToEnd(timeline, entry)}.`]
  })
}

function storeCauses (timeline: RequestTimeline): string[] {
  const before = timeline.lines.filter(({ atUnixMs }) => atUnixMs <= timeline.endUnixMs)
  const rewind = before.filter(({ line }) => line.message === STORE_REWOUND).at(-1)
  if (rewind !== undefined) return [`${capitalize(STORE_REWOUND)} (era ${numberOf(rewind.line, 'era')}), ${timeRelativeToEnd(timeline, rewind)}; runners and hosts write their entries again.`]
  const store = before.filter(({ line }) => line.message.startsWith('store ')).at(-1)
  if (store === undefined) return []
  return [`${capitalize(store.line.message)} (${textOf(store.line, 'topic')}), ${timeRelativeToEnd(timeline, store)}.`]
}

function lastLine (own: readonly TimelineEntry[], message: string): LogLine | undefined {
  return own.filter(({ line }) => line.message === message).at(-1)?.line
}

function secondsBeforeEnd (timeline: RequestTimeline, { atUnixMs }: Pick<TimelineEntry, 'atUnixMs'>): string {
  return ((timeline.endUnixMs - atUnixMs) / 1000).toFixed(1)
}

function timeRelativeToEnd (timeline: RequestTimeline, entry: TimelineEntry): string {
  const seconds = (entry.atUnixMs - timeline.endUnixMs) / 1000
  return seconds <= 0 ? `${(-seconds).toFixed(1)} s before the end` : `${seconds.toFixed(1)} s after the end`
}

function capitalize (text: string): string {
  return text.charAt(0).toUpperCase() + text.slice(1)
}
