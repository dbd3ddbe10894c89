import t from 'tap'
import { SharedBudget } from './shared-budget.js'

const limits = { ratio: 0.2, slack: 50, windowMs: 10_000 }

function takeAll (budget: SharedBudget, hosts: number, nowMs: number): number {
  let taken = 0
  while (budget.take('s', hosts, nowMs)) taken += 1
  return taken
}

t.test('all hosts together stay within the fixed part of the budget', async (t) => {
  const hosts = Array.from({ length: 7 }, () => SharedBudget.create(limits))
  const taken = hosts.reduce((sum, budget) => sum + takeAll(budget, 7, 0), 0)
  t.ok(taken <= 50)
  t.ok(taken > 0)
})

t.test('each request adds to the retry budget', async (t) => {
  const budget = SharedBudget.create({ ...limits, slack: 0 })
  for (let count = 0; count < 100; count += 1) budget.onRequest('s', 0)
  const taken = takeAll(budget, 1, 0)
  t.ok(taken > 5 && taken <= 20)
})

t.test('a retry counts until its window has passed', async (t) => {
  const budget = SharedBudget.create(limits)
  const taken = takeAll(budget, 1, 0)
  t.equal(takeAll(budget, 1, 9_000), 0)
  t.equal(takeAll(budget, 1, 10_500), taken)
})

t.test('each service has its own budget', async (t) => {
  const budget = SharedBudget.create(limits)
  takeAll(budget, 1, 0)
  t.ok(budget.take('other', 1, 0))
})
