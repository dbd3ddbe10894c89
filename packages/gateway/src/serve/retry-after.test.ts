import t from 'tap'
import type { ModelSpec } from '../config/types.js'
import { retryAfterFull, retryAfterMissing } from './retry-after.js'

const model: ModelSpec = { name: 'm', sizeMb: 70, loadMs: 9_000, diskLoadMs: 2_000, adapters: [], adapterSizeMb: 1 }

t.test('callers of a model on disk return when it is loaded', async (t) => {
  const afterMs = retryAfterMissing(model, true, undefined, { timeLeftMs: 15_000, random: () => 0 })
  t.ok(afterMs > 2_000 && afterMs < 3_500)
})

t.test('nobody is told to wait for more than a third of the time left', async (t) => {
  for (const timeLeftMs of [30, 900, 8_000]) {
    t.ok(retryAfterMissing(model, false, undefined, { timeLeftMs, random: () => 0.99 }) <= Math.max(1, timeLeftMs / 3))
    t.ok(retryAfterFull({ timeLeftMs, random: () => 0.99 }) <= Math.max(1, timeLeftMs / 3))
  }
})

t.test('callers turned away together return apart', async (t) => {
  const returns = [0, 0.25, 0.5, 0.75].map((value) => retryAfterFull({ timeLeftMs: 15_000, random: () => value }))
  t.equal(new Set(returns).size, returns.length)
  t.ok(Math.max(...returns) - Math.min(...returns) > 1_000)
})

t.test('a lack of unknown length brings callers back soon', async (t) => {
  t.equal(retryAfterMissing(undefined, false, undefined, { timeLeftMs: 15_000, random: () => 0.5 }), 1_000)
})

t.test('callers of a model that is being loaded return when it is there', async (t) => {
  const afterMs = retryAfterMissing(model, false, 2_000, { timeLeftMs: 15_000, random: () => 0 })
  t.ok(afterMs > 2_000 && afterMs < 3_500)
})
