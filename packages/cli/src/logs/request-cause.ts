/** Names what decided a request's end, from its story: the last decision first, then what had led to it. */
import { numberOf, textOf, type LogLine } from './log-line.js'
import type { RequestStory, StoryLine } from './request-story.js'

/** Sentences, the most direct cause first. */
export function findCauses (story: RequestStory): string[] {
  const own = story.lines.filter((line) => line.own)
  const end = own.at(-1)?.line
  if (end === undefined) return []
  if (end.message === 'request answered') return ['The request was answered.']
  if (end.message === 'request refused on arrival') return [`Refused on arrival: ${textOf(end, 'reason') ?? 'no reason given'}.`]
  const result = textOf(end, 'result')
  if (result === 'no_runner') return missingCauses(story, own)
  if (result === 'overloaded') return overloadCauses(story, own, end)
  if (result === 'caller_gone') return leftCauses(story, own)
  return runnerCauses(story, own, end)
}

/** What the request was waiting for when its caller left. */
function leftCauses (story: RequestStory, own: readonly StoryLine[]): string[] {
  const last = own.at(-2)
  const left = 'The caller closed its connection before the end.'
  if (last === undefined) return [left]
  const waited = secondsBefore(story, last)
  const runner = textOf(last.line, 'runner')
  if (last.line.message === 'sent to a runner') return [`${left} It had waited for ${runner} for ${waited} s.`, ...runnerEvents(story)]
  if (last.line.message === 'waits for a load') return [`${left} It had waited for a load of ${story.model} for ${waited} s.`, ...placementCauses(story)]
  return [left]
}

function missingCauses (story: RequestStory, own: readonly StoryLine[]): string[] {
  const choice = lastOf(own, 'no runner can take the request')
  const listed = choice === undefined ? undefined : numberOf(choice, 'listed')
  if (listed === 0) return ['The host knew no runner of the service.', ...storeCauses(story)]
  const asked = own.filter(({ line }) => line.message === 'adapter asked for')
  if (asked.length > 0) return adapterCauses(story, asked)
  if (story.model === undefined) return ['No runner of the service could be reached.', ...storeCauses(story)]
  return [...leavingCauses(own), `None of ${listed ?? 'the'} runners held ${story.model}.`, ...runnerEvents(story), ...placementCauses(story)]
}

/** Runners that held what was asked for and had said that they leave. */
function leavingCauses (own: readonly StoryLine[]): string[] {
  const leaving = own.filter(({ line }) => line.message === 'runner is closed' && textOf(line, 'by') === 'leaving')
  return leaving.map(({ line }) => `${textOf(line, 'runner')} had said that it leaves.`)
}

function adapterCauses (story: RequestStory, asked: readonly StoryLine[]): string[] {
  const name = `${story.model}/${story.adapter}`
  const causes = [`Runners hold ${story.model}, but ${name} could not be brought to them in time.`]
  const runners = new Set(asked.flatMap(({ line }) => textOf(line, 'runner') ?? []))
  for (const runner of runners) {
    const busy = story.lines.filter(({ line, atUnixMs }) => isModelOrder(line, runner) && atUnixMs <= story.endUnixMs).at(-1)?.line
    if (busy !== undefined) causes.push(`${runner} was given ${textOf(busy, 'kind')} ${textOf(busy, 'model')} before; it takes no other order until that has ended.`)
  }
  return [...causes, ...leaseCauses(story)]
}

function isModelOrder (line: LogLine, runner: string): boolean {
  return line.message === 'order given' && textOf(line, 'runner') === runner && textOf(line, 'adapter') === undefined
}

function overloadCauses (story: RequestStory, own: readonly StoryLine[], end: LogLine): string[] {
  const choice = lastOf(own, 'no runner can take the request')
  const full = choice === undefined ? 0 : numberOf(choice, 'full') ?? 0
  const closed = own.filter(({ line }) => line.message === 'runner is closed' && textOf(line, 'by') !== 'leaving')
  if (full === 0 && closed.length > 0) return [...closed.map(({ line }) => closedCause(line)), ...runnerEvents(story), ...placementCauses(story)]
  if (full === 0) return [`Turned away without having run: ${textOf(end, 'reason')}.`, ...runnerEvents(story)]
  return [`All ${full} runners that hold what was asked for were full.`, ...placementCauses(story)]
}

function closedCause (line: LogLine): string {
  if (textOf(line, 'by') === 'limit') return limitCause(line)
  const opensInS = ((numberOf(line, 'opensInMs') ?? 0) / 1000).toFixed(1)
  return `${textOf(line, 'runner')} had refused a request of this host and wanted nothing more for another ${opensInS} s.`
}

function limitCause (line: LogLine): string {
  const heardAgoS = ((numberOf(line, 'limitHeardAgoMs') ?? 0) / 1000).toFixed(1)
  return `${textOf(line, 'runner')} takes ${numberOf(line, 'limitPerS')} requests a second from all hosts by its own word, heard ${heardAgoS} s before; no permit was left.`
}

/** What was known of the model's copies, and the last order for it. */
function placementCauses (story: RequestStory): string[] {
  const before = story.lines.filter(({ own, atUnixMs }) => !own && atUnixMs <= story.endUnixMs)
  const placement = before.filter(({ line }) => line.message === 'placement').at(-1)
  const order = before.filter(({ line }) => line.message === 'order given' && textOf(line, 'model') === story.model && textOf(line, 'adapter') === undefined).at(-1)
  const causes: string[] = []
  const entry = placement === undefined ? undefined : modelEntry(placement.line, story.model)
  if (placement !== undefined && entry !== undefined) causes.push(`Placement ${secondsBefore(story, placement)} s before: ${entry}.`)
  if (order !== undefined) {
    const { line } = order
    causes.push(`Last order for it, ${secondsBefore(story, order)} s before: ${textOf(line, 'kind')} at ${textOf(line, 'runner')}, ${textOf(line, 'answer')}.`)
  } else if (story.model !== undefined) causes.push('No order for it was given in the seconds before.')
  return [...causes, ...leaseCauses(story)]
}

function modelEntry (placement: LogLine, model: string | undefined): string | undefined {
  return textOf(placement, 'models')?.split(', ').find((entry) => entry.startsWith(`${model} `))
}

/** Changes of the lease: without a holder nobody gives orders. */
function leaseCauses (story: RequestStory): string[] {
  const lease = story.lines.filter(({ line, atUnixMs }) => line.message.startsWith('order lease') && atUnixMs <= story.endUnixMs).at(-1)
  if (lease === undefined) return []
  const { line } = lease
  const waitMs = numberOf(line, 'ordersInMs')
  const wait = waitMs === undefined ? '' : `, orders from ${Math.round(waitMs)} ms later on`
  return [`${capital(line.message)} by ${line.host} ${secondsBefore(story, lease)} s before${wait}.`]
}

function runnerCauses (story: RequestStory, own: readonly StoryLine[], end: LogLine): string[] {
  const result = textOf(end, 'result') ?? 'failed'
  const sent = lastOf(own, 'sent to a runner')
  const runner = sent === undefined ? undefined : textOf(sent, 'runner')
  const attempt = lastOf(own, 'attempt ended')
  const reason = (attempt === undefined ? undefined : textOf(attempt, 'reason')) ?? textOf(end, 'reason')
  if (runner === undefined) return [`Ended as ${result}: ${reason}.`, ...storeCauses(story)]
  const refused = own.some(({ line }) => line.message === 'repeat refused by the budget')
  const budget = refused ? ['It was not sent again: the budget for repeats was used up.'] : []
  const unknown = result === 'backend_timeout' || result === 'backend_failed' ? ['It may have run.'] : []
  return [`Ended as ${result} at ${runner}: ${reason}.`, ...unknown, ...budget, ...runnerEvents(story)]
}

const RUNNER_EVENTS: readonly string[] = ['runner left the list', 'runner drains', 'runner is gone', 'runner gave no report', 'runner says that it leaves', 'runner asks for a pause', 'runner names a limit', 'limit of a runner changed', 'limit of a runner ended']

function runnerEvents (story: RequestStory): string[] {
  const seen = new Set<string>()
  return story.lines.flatMap((entry) => {
    const { line, own } = entry
    const runner = textOf(line, 'runner')
    if (own || runner === undefined || !RUNNER_EVENTS.includes(line.message)) return []
    const key = `${line.message} ${runner}`
    if (seen.has(key)) return []
    seen.add(key)
    return [`${capital(line.message)}: ${runner}, ${timeAround(story, entry)}.`]
  })
}

function storeCauses (story: RequestStory): string[] {
  const store = story.lines.filter(({ line, atUnixMs }) => line.message.startsWith('store ') && atUnixMs <= story.endUnixMs).at(-1)
  if (store === undefined) return []
  return [`${capital(store.line.message)} (${textOf(store.line, 'topic')}), ${timeAround(story, store)}.`]
}

function lastOf (own: readonly StoryLine[], message: string): LogLine | undefined {
  return own.filter(({ line }) => line.message === message).at(-1)?.line
}

function secondsBefore (story: RequestStory, { atUnixMs }: Pick<StoryLine, 'atUnixMs'>): string {
  return ((story.endUnixMs - atUnixMs) / 1000).toFixed(1)
}

function timeAround (story: RequestStory, entry: StoryLine): string {
  const seconds = (entry.atUnixMs - story.endUnixMs) / 1000
  return seconds <= 0 ? `${(-seconds).toFixed(1)} s before the end` : `${seconds.toFixed(1)} s after the end`
}

function capital (text: string): string {
  return text.charAt(0).toUpperCase() + text.slice(1)
}
