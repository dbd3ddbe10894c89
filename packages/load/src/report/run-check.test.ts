import t from 'tap'
import type { Ending } from '../caller/types.js'
import { RunCheck } from './run-check.js'

const refused: Ending = { kind: 'refused', code: 2004, type: 'overloaded', ran: 'no', status: 503 }
const unknown: Ending = { ...refused, ran: 'unknown' }
const answered: Ending = { kind: 'answered', replayed: false }

function countRuns (endings: Ending[]): number {
  const check = RunCheck.create()
  for (const ending of endings) check.add({ ending, key: 'k', failedOver: false, times: { endedAtMs: 0, tokens: 0 } })
  const before = { ranTwice: 0, runs: {} }
  return check.report([{ before, after: { ranTwice: 0, runs: { k: 1 } } }]).ranThoughRefused
}

t.test('a run violates a refusal only if every outcome of its key states that the call did not run', async (t) => {
  t.equal(countRuns([refused, { kind: 'unreachable' }]), 1)
  t.equal(countRuns([refused, answered]), 0)
  t.equal(countRuns([answered, refused]), 0)
  t.equal(countRuns([refused, unknown, refused]), 0)
  t.equal(countRuns([{ kind: 'failed', reason: 'reset' }]), 0)
})
