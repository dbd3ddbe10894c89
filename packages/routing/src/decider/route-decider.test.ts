import t from 'tap'
import { createFailure, Ran, ResultCode } from '@figloom/runtime'
import { Priority } from '@figloom/tables'
import { RouteDecider } from './route-decider.js'
import type { Decision, RouteRequest, RunnerInfo, SendDecision } from '../types.js'

const RUNNERS: RunnerInfo[] = ['a', 'b'].map((name) => (
  { name, availabilityZone: `zone-${name}`, draining: false, copies: [{ model: 'm', version: '1', adapters: [] }] }))

function createDecider (runners = RUNNERS) {
  const decider = RouteDecider.create({ random: () => 0.5, nowMs: 0 })
  decider.setRunners(runners)
  return decider
}

function requestOf (id: string, changes: Partial<RouteRequest> = {}): RouteRequest {
  return {
    id,
    route: 'r',
    target: { model: 'm', version: '1' },
    priority: Priority.Interactive,
    deadlineMs: 5_000,
    betweenTokensTargetMs: 43,
    promptTokens: 10,
    prefixHashes: [],
    idempotent: true,
    ...changes
  }
}

function send (decider: RouteDecider, request: RouteRequest, nowMs = 0): Decision {
  const decision = decider.decide(request, nowMs)
  if (decision.kind === 'send') decider.onSent(request, decision, nowMs)
  return decision
}

/** Sends requests until one is not sent at once; returns the runners used. */
function fill (decider: RouteDecider, changes: Partial<RouteRequest> = {}): string[] {
  const used: string[] = []
  for (let count = 0; count < 100; count++) {
    const decision = send(decider, requestOf(`fill-${count}`, changes))
    if (decision.kind !== 'send') return used
    used.push(decision.runner)
  }
  return used
}

function codeOf (decision: Decision): number | undefined {
  return decision.kind === 'refuse' ? decision.failure.code.code : undefined
}

t.test('spreads load evenly over runners', async (t) => {
  const used = fill(createDecider())
  t.equal(used.filter((name) => name === 'a').length, 32)
  t.equal(used.filter((name) => name === 'b').length, 32)
})

t.test('queues requests above the limit and releases them when a slot is free', async (t) => {
  const decider = createDecider()
  fill(decider, { idempotent: false })
  t.equal(decider.waiting, 1)
  t.same(decider.release(10), [])
  decider.onDone('fill-0', 1, 20)
  const released = decider.release(20)
  t.equal(released.length, 1)
  t.equal(released[0]?.decision.kind, 'send')
})

t.test('refuses at once a request that cannot meet its deadline', async (t) => {
  const decider = createDecider()
  fill(decider)
  const decision = decider.decide(requestOf('late', { route: 'other', deadlineMs: 30 }), 0)
  t.equal(codeOf(decision), ResultCode.Overloaded.code)
  t.ok(decision.kind === 'refuse' && (decision.failure.retryAfterMs ?? 0) >= 50)
  t.equal(codeOf(decider.decide(requestOf('past', { deadlineMs: 0 }), 0)), ResultCode.DeadlinePassed.code)
})

t.test('a waiting request is refused when its deadline can no longer be met', async (t) => {
  const decider = createDecider()
  fill(decider)
  t.equal(decider.release(4_990)[0]?.decision.kind, 'refuse')
  t.equal(decider.waiting, 0)
})

t.test('batch requests leave capacity for interactive requests', async (t) => {
  const decider = createDecider()
  const batch = { priority: Priority.Batch, route: 'menus', deadlineMs: 1e9 }
  t.equal(fill(decider, batch).length, 32)
  t.equal(send(decider, requestOf('interactive')).kind, 'send')
})

t.test('a draining runner and one without the adapter get no requests', async (t) => {
  const [a, b] = RUNNERS as [RunnerInfo, RunnerInfo]
  const decider = createDecider([{ ...a, draining: true }, b])
  t.same([...new Set(fill(decider))], ['b'])
  const target = { model: 'm', version: '1', adapter: 'x' }
  t.equal(codeOf(decider.decide(requestOf('adapter', { target }), 0)), ResultCode.NoRunner.code)
})

t.test('a failed request that may have run is retried only if it is idempotent', async (t) => {
  const decider = createDecider()
  const failure = createFailure(ResultCode.BackendFailed, 'cut')
  for (const idempotent of [true, false]) {
    const request = requestOf(`call-${idempotent}`, { idempotent })
    const sent = send(decider, request) as SendDecision
    const decision = decider.onFailed(request.id, failure, 1, 1)
    t.equal(decision.kind, idempotent ? 'repeat' : 'give-up')
    if (decision.kind !== 'give-up') t.not(decision.send.runner, sent.runner)
  }
})

t.test('a request that certainly did not run is retried', async (t) => {
  const decider = createDecider()
  send(decider, requestOf('call', { idempotent: false }))
  const failure = createFailure(ResultCode.BackendUnreachable, 'refused', { ran: Ran.No })
  t.equal(decider.onFailed('call', failure, 1, 1).kind, 'repeat')
})

t.test('a broken stream resumes within the retry budget', async (t) => {
  const decider = createDecider()
  const failure = createFailure(ResultCode.BackendFailed, 'cut')
  const kinds: string[] = []
  for (let count = 0; count < 40; count++) {
    const request = requestOf(`s-${count}`)
    const decision = decider.decide(request, 0)
    if (decision.kind !== 'send') break
    decider.onSent(request, decision, 0)
    decider.onFirstToken(request.id, 0)
    decider.onToken(request.id, 3, 0)
    kinds.push(decider.onFailed(request.id, failure, 1, 0).kind)
  }
  t.equal(kinds[0], 'resume')
  t.ok(kinds.filter((kind) => kind === 'resume').length <= 14)
})

t.test('a stream can resume after the deadline for its first token has passed', async (t) => {
  const decider = createDecider()
  send(decider, requestOf('s', { deadlineMs: 300 }))
  decider.onFirstToken('s', 200)
  decider.onToken('s', 40, 1_000)
  t.equal(decider.onFailed('s', createFailure(ResultCode.BackendFailed, 'cut'), 1, 1_000).kind, 'resume')
})

t.test('a stalled runner is ejected and later probed by at most one request', async (t) => {
  const decider = createDecider()
  const first = send(decider, requestOf('stuck')) as SendDecision
  t.same(decider.checkStalls(3_500), [first.runner])
  const next = send(decider, requestOf('next', { deadlineMs: 9_000 }), 3_500) as SendDecision
  t.not(next.runner, first.runner)
  const used = [0, 1, 2].map((n) => send(decider, requestOf(`probe-${n}`, { deadlineMs: 90_000 }), 4_600) as SendDecision)
  t.ok(used.filter(({ runner }) => runner === first.runner).length <= 1)
})

t.test('this host\'s own requests in a runner\'s report are not counted twice', async (t) => {
  const [a, b] = RUNNERS as [RunnerInfo, RunnerInfo]
  const decider = createDecider([a])
  for (let count = 0; count < 8; count++) send(decider, requestOf(`own-${count}`), 1_000)
  decider.setRunners([a, b])
  decider.onReport('a', { running: 8, queued: 0, kvUsedMiB: 0, ageMs: 50 }, 1_100)
  decider.onReport('b', { running: 12, queued: 0, kvUsedMiB: 0, ageMs: 50 }, 1_100)
  t.equal((send(decider, requestOf('new'), 1_100) as SendDecision).runner, 'a')
})

t.test('a load report is corrected for requests that were sent after it', async (t) => {
  const decider = createDecider(RUNNERS.slice(0, 1))
  for (let count = 0; count < 8; count++) send(decider, requestOf(`own-${count}`), 1_000)
  decider.onReport('a', { running: 3, queued: 0, kvUsedMiB: 0, ageMs: 900 }, 1_100)
  t.equal(decider.runnerStatus(1_100)[0]?.load, 11)
})

t.test('an ejected runner still serves a model that no other runner holds', async (t) => {
  const decider = createDecider(RUNNERS.slice(0, 1))
  send(decider, requestOf('stuck'))
  t.same(decider.checkStalls(3_500), ['a'])
  t.equal(send(decider, requestOf('next', { deadlineMs: 90_000 }), 3_600).kind, 'send')
})

t.test('late first tokens lower only the limit of their model\'s copy', async (t) => {
  const [a] = RUNNERS as [RunnerInfo]
  const decider = createDecider([{ ...a, copies: [...a.copies, { model: 'n', version: '1', adapters: [] }] }])
  const late = requestOf('late', { deadlineMs: 300 })
  send(decider, late)
  decider.onFirstToken('late', 400)
  decider.onDone('late', 1, 400)
  const countOf = (model: string) => fill(decider, { target: { model, version: '1' }, route: model }).length
  t.equal(countOf('m'), 28)
  t.equal(decider.runnerStatus(0)[0]?.limit, 32)
})
