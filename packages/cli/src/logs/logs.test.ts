import t from 'tap'
import { findCauses } from './request-cause.js'
import { parseLogLine, type LogLine } from './log-line.js'
import { tellStory, type RequestStory } from './request-story.js'

const START_UNIX_MS = Date.parse('2026-03-01T10:00:00.000Z')

type Fields = { [name: string]: string | number }

function text (atMs: number, host: string, message: string, fields: Fields = {}): string {
  return JSON.stringify({ time: new Date(START_UNIX_MS + atMs).toISOString(), level: 'info', message, program: 'figloom-gateway', host, availabilityZone: 'z', ...fields })
}

function line (atMs: number, host: string, message: string, fields: Fields = {}): LogLine {
  const parsed = parseLogLine(text(atMs, host, message, fields))
  if (parsed === undefined) throw new Error('not a line')
  return parsed
}

/** Lines of one request, written together at its end. */
function request (endMs: number, host: string, steps: [number, string, Fields?][]): LogLine[] {
  return steps.map(([atMs, message, fields]) => line(endMs, host, message, { requestId: 'r1', atMs, ...fields }))
}

function story (lines: LogLine[]): RequestStory {
  const told = tellStory(lines, 'r1')
  if (told === undefined) throw new Error('no story')
  return told
}

t.test('a line may have a prefix, and other output is passed over', async (t) => {
  t.equal(parseLogLine(`  1.25 host-1 ${text(0, 'host-1', 'gateway started')}`)?.message, 'gateway started')
  for (const other of ['', 'Error: no', '{"time":1}', '{half', '{"a":[1]}']) t.equal(parseLogLine(other), undefined)
})

t.test('decisions stand at the time when they were made', async (t) => {
  const { lines } = story([
    line(900, 'a', 'configuration in force', { version: 2 }),
    ...request(1_000, 'a', [[0, 'request accepted', { model: 'm' }], [400, 'request not answered', { result: 'no_runner' }]])
  ])
  t.same(lines.map(({ line: { message } }) => message), ['request accepted', 'configuration in force', 'request not answered'])
})

t.test('hosts with clocks apart are put on one clock', async (t) => {
  const { lines } = story([
    line(0, 'a', 'host answers', { peer: 'b', clockAheadMs: 5_000 }),
    ...request(1_000, 'a', [[0, 'request accepted', { model: 'm' }], [200, 'sent to a runner', { runner: 'r' }], [500, 'request not answered', { result: 'backend_failed' }]]),
    line(5_600, 'b', 'order given', { runner: 'r', kind: 'load', model: 'm' }),
    line(600, 'c', 'runner drains', { runner: 'r' })
  ])
  const other = lines.filter(({ own }) => !own)
  t.same(other.map(({ line: { host }, clockKnown }) => [host, clockKnown]), [['b', true], ['c', false]])
  t.equal(other[0]?.atUnixMs, START_UNIX_MS + 600)
})

t.test('a difference that the other host measured counts as well', async (t) => {
  const { lines } = story([
    line(0, 'b', 'host answers', { peer: 'a', clockAheadMs: -3_000 }),
    ...request(1_000, 'a', [[0, 'request accepted', { model: 'm' }], [0, 'request not answered', { result: 'no_runner' }]]),
    line(3_900, 'b', 'order given', { runner: 'r', kind: 'load', model: 'm' })
  ])
  t.equal(lines.find(({ own }) => !own)?.atUnixMs, START_UNIX_MS + 900)
})

t.test('a model without a copy', async (t) => {
  const causes = findCauses(story([
    line(500, 'b', 'placement', { models: 'k asks 1.0 of 1 copies, m asks 2.0 of 0 copies' }),
    line(700, 'b', 'order given', { runner: 'r', kind: 'load', model: 'm', answer: 'accepted' }),
    line(800, 'b', 'order lease taken', { ordersInMs: 1_400 }),
    ...request(1_000, 'a', [
      [0, 'request accepted', { model: 'm' }],
      [0, 'no runner can take the request', { full: 0, listed: 13 }],
      [0, 'request not answered', { result: 'no_runner' }]
    ])
  ]))
  t.same(causes, [
    'None of 13 runners held m.',
    'Placement 0.5 s before: m asks 2.0 of 0 copies.',
    'Last order for it, 0.3 s before: load at r, accepted.',
    'Order lease taken by b 0.2 s before, orders from 1400 ms later on.'
  ])
})

t.test('an adapter that a busy runner could not take', async (t) => {
  const causes = findCauses(story([
    line(500, 'b', 'order given', { runner: 'r', kind: 'load', model: 'k', answer: 'accepted' }),
    ...request(1_000, 'a', [
      [0, 'request accepted', { model: 'm', adapter: 'x' }],
      [0, 'adapter asked for', { runner: 'r', holders: 1 }],
      [30, 'no runner can take the request', { full: 0, listed: 3 }],
      [30, 'request not answered', { result: 'no_runner' }]
    ])
  ]))
  t.same(causes, [
    'Runners hold m, but m/x could not be brought to them in time.',
    'r was given load k before; it takes no other order until that has ended.'
  ])
})

t.test('a stream that its runner broke off', async (t) => {
  const causes = findCauses(story([
    ...request(1_000, 'a', [
      [0, 'request accepted', { model: 'm' }],
      [0, 'sent to a runner', { runner: 'r' }],
      [500, 'attempt ended', { runner: 'r', reason: 'answer: other side closed' }],
      [500, 'repeat refused by the budget', { service: 's' }],
      [500, 'request not answered', { result: 'broken_off' }]
    ]),
    line(2_000, 'a', 'runner left the list', { runner: 'r' }),
    line(2_000, 'b', 'runner left the list', { runner: 'r' })
  ]))
  t.same(causes, [
    'Ended as broken_off at r: answer: other side closed.',
    'It was not sent again: the budget for repeats was used up.',
    'Runner left the list: r, 1.0 s after the end.'
  ])
})

t.test('a booking whose outcome is unknown', async (t) => {
  const causes = findCauses(story(request(1_000, 'a', [
    [0, 'request accepted', { kind: 'non-idempotent' }],
    [0, 'sent to a runner', { runner: 'r' }],
    [400, 'request not answered', { result: 'backend_timeout', reason: 'no answer within the time of the request' }]
  ])))
  t.same(causes, ['Ended as backend_timeout at r: no answer within the time of the request.', 'It may have run.'])
})

t.test('a host that knew no runner names the store', async (t) => {
  const causes = findCauses(story([
    line(200, 'a', 'store does not answer', { topic: 'runners' }),
    ...request(1_000, 'a', [
      [0, 'request accepted'],
      [0, 'no runner can take the request', { full: 0, listed: 0 }],
      [0, 'request not answered', { result: 'no_runner' }]
    ])
  ]))
  t.same(causes, ['The host knew no runner of the service.', 'Store does not answer (runners), 0.8 s before the end.'])
})

t.test('a caller that left while a runner was silent', async (t) => {
  const causes = findCauses(story([
    ...request(3_000, 'a', [
      [0, 'request accepted'],
      [0, 'sent to a runner', { runner: 'r' }],
      [2_400, 'request not answered', { result: 'caller_gone' }]
    ]),
    line(3_500, 'a', 'runner left the list', { runner: 'r' })
  ]))
  t.same(causes, ['The caller closed its connection before the end. It had waited for r for 2.4 s.', 'Runner left the list: r, 0.5 s after the end.'])
})

t.test('other ends', async (t) => {
  const end = (message: string, fields: Fields) => findCauses(story(request(1_000, 'a', [[0, message, fields]])))
  t.same(end('request answered', {}), ['The request was answered.'])
  t.same(end('request refused on arrival', { reason: 'no route' }), ['Refused on arrival: no route.'])
  t.same(end('request not answered', { result: 'caller_gone' }), ['The caller closed its connection before the end.'])
})

t.test('a request that no line names', async (t) => {
  t.equal(tellStory([line(0, 'a', 'gateway started')], 'r1'), undefined)
})

t.test('a refusal for the limit of a runner names the limit and whose word it was', async (t) => {
  const causes = findCauses(story([
    line(200, 'b', 'runner names a limit', { runner: 'r', requestsPerS: 1.1 }),
    ...request(1_000, 'a', [
      [0, 'request accepted', { model: 'm' }],
      [0, 'no runner can take the request', { full: 0, closed: 1, listed: 3 }],
      [0, 'runner is closed', { runner: 'r', by: 'limit', limitPerS: 1.1, limitHeardAgoMs: 300, opensInMs: 800 }],
      [0, 'request not answered', { result: 'overloaded' }]
    ])
  ]))
  t.match(causes[0], /r takes 1\.1 requests a second .* heard 0\.3 s before/)
  t.match(causes[1], /Runner names a limit: r, 0\.8 s before the end/)
})

t.test('a refusal for the pause of a runner names the pause and when it ends', async (t) => {
  const causes = findCauses(story([
    line(200, 'a', 'runner asks for a pause', { runner: 'r', pauseMs: 2_000 }),
    ...request(1_000, 'a', [
      [0, 'request accepted', { model: 'm' }],
      [0, 'no runner can take the request', { full: 0, closed: 1, listed: 3 }],
      [0, 'runner is closed', { runner: 'r', by: 'pause', opensInMs: 1_200 }],
      [0, 'request not answered', { result: 'overloaded' }]
    ])
  ]))
  t.match(causes[0], /r had refused a request of this host and wanted nothing more for another 1\.2 s/)
  t.match(causes.join(' '), /Runner asks for a pause: r, 0\.8 s before the end/)
})

t.test('a refusal for want of a copy names the runner that holds one and leaves', async (t) => {
  const causes = findCauses(story([
    line(300, 'b', 'runner says that it leaves', { runner: 'q', from: 'b', heardAgoMs: 0 }),
    ...request(1_000, 'a', [
      [0, 'request accepted', { model: 'm' }],
      [0, 'no runner can take the request', { full: 0, closed: 0, listed: 3 }],
      [0, 'runner is closed', { runner: 'q', by: 'leaving' }],
      [0, 'request not answered', { result: 'no_runner' }]
    ])
  ]))
  t.match(causes.join(' '), /q had said that it leaves\. None of 3 runners held m\. Runner says that it leaves: q, 0\.7 s before the end/)
})
