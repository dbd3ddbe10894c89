import t from 'tap'
import { findCauses } from './request-cause.js'
import { parseLogLine, type LogLine } from './log-line.js'
import { buildTimeline, type RequestTimeline } from './request-timeline.js'

const START_UNIX_MS = Date.parse('2026-03-01T10:00:00.000Z')

type Fields = { [name: string]: string | number }

function text (atMs: number, host: string, message: string, fields: Fields = {}): string {
  return JSON.stringify({ time: new Date(START_UNIX_MS + atMs).toISOString(), level: 'info', message, program: 'figloom-gateway', host, availabilityZone: 'z', ...fields })
}

function line (atMs: number, host: string, message: string, fields: Fields = {}): LogLine {
  const parsed = parseLogLine(text(atMs, host, message, fields))
  if (parsed === undefined) throw new Error('not a log line')
  return parsed
}

/** Log lines of one request, which hosts write together when it ends. */
function request (endMs: number, host: string, steps: [number, string, Fields?][]): LogLine[] {
  return steps.map(([atMs, message, fields]) => line(endMs, host, message, { requestId: 'r1', atMs, ...fields }))
}

function timelineOf (lines: LogLine[]): RequestTimeline {
  const timeline = buildTimeline(lines, 'r1')
  if (timeline === undefined) throw new Error('no timeline')
  return timeline
}

t.test('a line may have a prefix, and output of other programs is ignored', async (t) => {
  t.equal(parseLogLine(`  1.25 host-1 ${text(0, 'host-1', 'gateway started')}`)?.message, 'gateway started')
  for (const other of ['', 'Error: no', '{"time":1}', '{half', '{"a":[1]}']) t.equal(parseLogLine(other), undefined)
})

t.test('lines of a request are sorted by the time of the decision, not of writing', async (t) => {
  const { lines } = timelineOf([
    line(900, 'a', 'configuration in force', { version: 2 }),
    ...request(1_000, 'a', [[0, 'request accepted', { model: 'm' }], [400, 'request not answered', { result: 'no_runner' }]])
  ])
  t.same(lines.map(({ line: { message } }) => message), ['request accepted', 'configuration in force', 'request not answered'])
})

t.test('times of hosts whose clocks differ are converted to one clock', async (t) => {
  const { lines } = timelineOf([
    line(0, 'a', 'host answers', { peer: 'b', clockAheadMs: 5_000 }),
    ...request(1_000, 'a', [[0, 'request accepted', { model: 'm' }], [200, 'sent to a runner', { runner: 'r' }], [500, 'request not answered', { result: 'backend_failed' }]]),
    line(5_600, 'b', 'order given', { runner: 'r', kind: 'load', model: 'm' }),
    line(600, 'c', 'runner drains', { runner: 'r' })
  ])
  const other = lines.filter(({ own }) => !own)
  t.same(other.map(({ line: { host }, clockKnown }) => [host, clockKnown]), [['b', true], ['c', false]])
  t.equal(other[0]?.atUnixMs, START_UNIX_MS + 600)
})

t.test('a clock offset that only the other host measured is used as well', async (t) => {
  const { lines } = timelineOf([
    line(0, 'b', 'host answers', { peer: 'a', clockAheadMs: -3_000 }),
    ...request(1_000, 'a', [[0, 'request accepted', { model: 'm' }], [0, 'request not answered', { result: 'no_runner' }]]),
    line(3_900, 'b', 'order given', { runner: 'r', kind: 'load', model: 'm' })
  ])
  t.equal(lines.find(({ own }) => !own)?.atUnixMs, START_UNIX_MS + 900)
})

t.test('no runner held a copy of the model', async (t) => {
  const causes = findCauses(timelineOf([
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
    'Last order for the model, 0.3 s before: load at r, accepted.',
    'Order lease taken by b 0.2 s before, orders allowed 1400 ms later.'
  ])
})

t.test('a busy runner could not load an adapter', async (t) => {
  const causes = findCauses(timelineOf([
    line(500, 'b', 'order given', { runner: 'r', kind: 'load', model: 'k', answer: 'accepted' }),
    ...request(1_000, 'a', [
      [0, 'request accepted', { model: 'm', adapter: 'x' }],
      [0, 'adapter asked for', { runner: 'r', holders: 1 }],
      [30, 'no runner can take the request', { full: 0, listed: 3 }],
      [30, 'request not answered', { result: 'no_runner' }]
    ])
  ]))
  t.same(causes, [
    'Runners hold m, but m/x could not be loaded on them in time.',
    'r had been sent the order load k; it accepts no other order until that one has ended.'
  ])
})

t.test('a runner broke off a stream', async (t) => {
  const causes = findCauses(timelineOf([
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
    'Ended with broken_off at r: answer: other side closed.',
    'It was not retried: the retry budget was used up.',
    'Runner left the list: r, 1.0 s after the end.'
  ])
})

t.test('a non-idempotent request with an unknown outcome may have run', async (t) => {
  const causes = findCauses(timelineOf(request(1_000, 'a', [
    [0, 'request accepted', { kind: 'non-idempotent' }],
    [0, 'sent to a runner', { runner: 'r' }],
    [400, 'request not answered', { result: 'backend_timeout', reason: 'no answer within the time of the request' }]
  ])))
  t.same(causes, ['Ended with backend_timeout at r: no answer within the time of the request.', 'It may have run.'])
})

t.test('a host that knew no runner reports the failing store', async (t) => {
  const causes = findCauses(timelineOf([
    line(200, 'a', 'store does not answer', { topic: 'runners' }),
    ...request(1_000, 'a', [
      [0, 'request accepted'],
      [0, 'no runner can take the request', { full: 0, listed: 0 }],
      [0, 'request not answered', { result: 'no_runner' }]
    ])
  ]))
  t.same(causes, ['The host knew no runner of the service.', 'Store does not answer (runners), 0.8 s before the end.'])
})

t.test('a caller disconnected while its runner did not answer', async (t) => {
  const causes = findCauses(timelineOf([
    ...request(3_000, 'a', [
      [0, 'request accepted'],
      [0, 'sent to a runner', { runner: 'r' }],
      [2_400, 'request not answered', { result: 'caller_gone' }]
    ]),
    line(3_500, 'a', 'runner left the list', { runner: 'r' })
  ]))
  t.same(causes, ['The caller closed its connection before the end. It had waited for r for 2.4 s.', 'Runner left the list: r, 0.5 s after the end.'])
})

t.test('requests that were answered, refused on arrival or abandoned by the caller', async (t) => {
  const end = (message: string, fields: Fields) => findCauses(timelineOf(request(1_000, 'a', [[0, message, fields]])))
  t.same(end('request answered', {}), ['The request was answered.'])
  t.same(end('request refused on arrival', { reason: 'no route' }), ['Refused on arrival: no route.'])
  t.same(end('request not answered', { result: 'caller_gone' }), ['The caller closed its connection before the end.'])
})

t.test('a request that no line mentions has no timeline', async (t) => {
  t.equal(buildTimeline([line(0, 'a', 'gateway started')], 'r1'), undefined)
})

t.test('a refusal for a runner\'s limit reports the limit and the age of the runner\'s signal', async (t) => {
  const causes = findCauses(timelineOf([
    line(200, 'b', 'runner names a limit', { runner: 'r', requestsPerS: 1.1 }),
    ...request(1_000, 'a', [
      [0, 'request accepted', { model: 'm' }],
      [0, 'no runner can take the request', { full: 0, closed: 1, listed: 3 }],
      [0, 'runner is closed', { runner: 'r', by: 'limit', limitPerS: 1.1, limitHeardAgoMs: 300, opensInMs: 800 }],
      [0, 'request not answered', { result: 'overloaded' }]
    ])
  ]))
  t.match(causes[0], /r accepts 1\.1 requests per second .* received 0\.3 s before/)
  t.match(causes[1], /Runner names a limit: r, 0\.8 s before the end/)
})

t.test('a refusal for a runner\'s pause reports the pause and when it ends', async (t) => {
  const causes = findCauses(timelineOf([
    line(200, 'a', 'runner asks for a pause', { runner: 'r', pauseMs: 2_000 }),
    ...request(1_000, 'a', [
      [0, 'request accepted', { model: 'm' }],
      [0, 'no runner can take the request', { full: 0, closed: 1, listed: 3 }],
      [0, 'runner is closed', { runner: 'r', by: 'pause', opensInMs: 1_200 }],
      [0, 'request not answered', { result: 'overloaded' }]
    ])
  ]))
  t.match(causes[0], /r had refused a request of this host and asked for a pause, which lasted another 1\.2 s/)
  t.match(causes.join(' '), /Runner asks for a pause: r, 0\.8 s before the end/)
})

t.test('a refusal because the only runner with a copy is leaving reports that runner', async (t) => {
  const causes = findCauses(timelineOf([
    line(300, 'b', 'runner says that it leaves', { runner: 'q', from: 'b', heardAgoMs: 0 }),
    ...request(1_000, 'a', [
      [0, 'request accepted', { model: 'm' }],
      [0, 'no runner can take the request', { full: 0, closed: 0, listed: 3 }],
      [0, 'runner is closed', { runner: 'q', by: 'leaving' }],
      [0, 'request not answered', { result: 'no_runner' }]
    ])
  ]))
  t.match(causes.join(' '), /q had announced that it leaves\. None of 3 runners held m\. Runner says that it leaves: q, 0\.7 s before the end/)
})

t.test('a refusal for a blocked prompt part names the part, why it is blocked and which processes had ended', async (t) => {
  const blocked = (ran: string) => findCauses(timelineOf([
    line(200, 'b', 'prompt part is blocked', { part: 'p1', from: 'b', processes: 'r@10.0.0.1:80/5' }),
    line(300, 'b', 'prompt part is blocked', { part: 'p2', from: 'b', processes: 'q@10.0.0.2:80/5' }),
    ...request(1_000, 'a', [
      [0, 'request accepted', { model: 'm' }],
      [0, 'request has a blocked prompt part', { part: 'p1', reason: '3 runners ended', ran }],
      [0, 'request not answered', { result: 'prompt_blocked' }]
    ])
  ]))
  t.match(blocked('no')[0], /Prompt part p1 is blocked: 3 runners ended\. It has not run\./)
  t.match(blocked('unknown')[0], /may have run/)
  t.match(blocked('no')[1], /Blocked by b, 0\.8 s before the end; processes that ended: r@10\.0\.0\.1:80\/5\./)
})

t.test('a refusal for blocked content names its key, why it is blocked and which processes had ended', async (t) => {
  const causes = findCauses(timelineOf([
    line(200, 'b', 'request content is blocked', { key: 'request-1', from: 'b', processes: 'r@10.0.0.1:80/5' }),
    ...request(1_000, 'a', [
      [0, 'request accepted', {}],
      [0, 'request has blocked content', { key: 'request-1', reason: '3 runners ended', ran: 'no' }],
      [0, 'request not answered', { result: 'request_blocked' }]
    ])
  ]))
  t.match(causes[0], /method, path and body \(request-1\) are blocked: 3 runners ended\. It has not run\./)
  t.match(causes[1], /Blocked by b, 0\.8 s before the end; processes that ended: r@10\.0\.0\.1:80\/5\./)
})

t.test('a host that knew no runner because the store came back from an older copy reports that', async (t) => {
  const causes = findCauses(timelineOf([
    line(400, 'a', 'the store came back from an older copy', { era: 4, before: 3, from: 'the store' }),
    line(500, 'a', 'store answers again', { topic: 'keyed.servers' }),
    ...request(1_000, 'a', [
      [0, 'request accepted', { model: 'm' }],
      [0, 'no runner can take the request', { full: 0, listed: 0 }],
      [0, 'request not answered', { result: 'no_runner' }]
    ])
  ]))
  t.match(causes[1], /The store came back from an older copy \(era 4\), 0\.6 s before the end/)
})
