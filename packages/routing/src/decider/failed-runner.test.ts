import { createFailure, ResultCode } from '@figloom/runtime'
import t from 'tap'
import type { RouteRequest } from '../types.js'
import { RouteDecider } from './route-decider.js'

const REQUEST: RouteRequest = {
  id: 'r1',
  route: 'notes',
  target: { model: 'm', version: '1' },
  priority: 'interactive',
  deadlineMs: 10_000,
  betweenTokensTargetMs: 50,
  promptTokens: 10,
  prefixHashes: [],
  idempotent: true
}

function runner (name: string) {
  return { name, availabilityZone: 'a', draining: false, copies: [{ model: 'm', version: '1', adapters: [] }] }
}

function failOnce (names: string[]) {
  const decider = RouteDecider.create({ random: () => 0.5, nowMs: 0 })
  decider.setRunners(names.map(runner))
  const first = decider.decide(REQUEST, 0)
  if (first.kind !== 'send') throw new Error('not sent')
  decider.onSent(REQUEST, first, 0)
  const next = decider.onFailed('r1', createFailure(ResultCode.BackendFailed, 'cut'), 1, 5)
  return { first: first.runner, next: next.kind === 'give-up' ? undefined : next.send.runner }
}

t.test('a failed attempt is retried on another runner', async (t) => {
  const { first, next } = failOnce(['a', 'b'])
  t.not(next, undefined)
  t.not(next, first)
})

t.test('a failed attempt is retried on the same runner if no other holds the model', async (t) => {
  t.equal(failOnce(['a']).next, 'a')
})
