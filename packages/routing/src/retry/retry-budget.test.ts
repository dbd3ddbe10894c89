import t from 'tap'
import { RetryBudget } from './retry-budget.js'

t.test('retries are limited to a fraction of the requests', async (t) => {
  const budget = RetryBudget.create(0)
  const takeAll = (nowMs: number) => {
    let taken = 0
    while (taken < 1_000 && budget.take(nowMs)) taken += 1
    return taken
  }
  t.equal(takeAll(0), 10)
  for (let sent = 0; sent < 105; sent++) budget.onFirstAttempt()
  t.equal(takeAll(0), 10)
  t.equal(takeAll(3_600_000), 20)
})
