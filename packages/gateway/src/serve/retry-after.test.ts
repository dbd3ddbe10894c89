import t from 'tap'
import type { ModelSpec } from '../config/types.js'
import { retryAfterFull, retryAfterMissing } from './retry-after.js'

const model: ModelSpec = { name: 'm', sizeMb: 70, loadMs: 9_000, diskLoadMs: 2_000, adapters: [], adapterSizeMb: 1 }

t.test('callers of a model on disk retry when it is loaded', async (t) => {
  const afterMs = retryAfterMissing(model, true, undefined, { timeLeftMs: 15_000, random: () => 0 })
  t.ok(afterMs > 2_000 && afterMs < 3_500)
})

t.test('no caller is asked to wait for more than a third of its remaining time', async (t) => {
  for (const timeLeftMs of [30, 900, 8_000]) {
    t.ok(retryAfterMissing(model, false, undefined, { timeLeftMs, random: () => 0.99 }) <= Math.max(1, timeLeftMs / 3))
    t.ok(retryAfterFull({ timeLeftMs, random: () => 0.99 }) <= Math.max(1, timeLeftMs / 3))
  }
})

t.test('callers refused at the same time retry at different times', async (t) => {
  const delaysMs = [0, 0.25, 0.5, 0.75].map((value) => retryAfterFull({ timeLeftMs: 15_000, random: () => value }))
  t.equal(new Set(delaysMs).size, delaysMs.length)
  t.ok(Math.max(...delaysMs) - Math.min(...delaysMs) > 1_000)
})

t.test('callers retry soon when the waiting time is unknown', async (t) => {
  t.equal(retryAfterMissing(undefined, false, undefined, { timeLeftMs: 15_000, random: () => 0.5 }), 1_000)
})

t.test('callers of a model that is being loaded retry when the load has ended', async (t) => {
  const afterMs = retryAfterMissing(model, false, 2_000, { timeLeftMs: 15_000, random: () => 0 })
  t.ok(afterMs > 2_000 && afterMs < 3_500)
})
