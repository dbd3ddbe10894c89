import t from 'tap'
import type { DemandRate } from '../members/types.js'
import { forecastDemand, versionDemand } from './demand-forecast.js'

function rate (model: string, requestsPerS: number, slowRequestsPerS: number, changes: Partial<DemandRate> = {}): DemandRate {
  return { service: 's', model, requestsPerS, slowRequestsPerS, holdMs: 2_000, ...changes }
}

function forecastSlots (rates: DemandRate[], model: string): number {
  return forecastDemand(rates, 's').get(model)?.forecastSlots ?? 0
}

t.test('steady demand stays as it is', async (t) => {
  t.same(forecastDemand([rate('a', 10, 10)], 's').get('a'), { currentSlots: 20, forecastSlots: 20 })
})

t.test('a shift of demand is extrapolated, and the total does not grow', async (t) => {
  const rates = [rate('a', 10, 20), rate('b', 20, 10)]
  t.ok(forecastSlots(rates, 'a') < 20)
  t.ok(forecastSlots(rates, 'b') > 40)
  t.ok(forecastSlots(rates, 'a') + forecastSlots(rates, 'b') <= 60.01)
})

t.test('a change within random variation is no trend', async (t) => {
  t.equal(forecastSlots([rate('a', 1.1, 1)], 'a').toFixed(1), '2.2')
})

t.test('the rates of all hosts are added; other services and adapters do not count', async (t) => {
  const rates = [rate('a', 5, 5), rate('a', 5, 5), rate('a', 5, 5, { service: 'other' }), rate('a', 5, 5, { adapter: 'x' })]
  t.equal(forecastSlots(rates, 'a'), 20)
})

t.test('without demand there is no forecast', async (t) => {
  t.equal(forecastDemand([], 's').size, 0)
})

t.test('take-ups at a version are no demand of their own', async (t) => {
  const rates = [rate('a', 10, 10), rate('a', 3, 3, { softwareVersion: 'v1' })]
  t.same(forecastDemand(rates, 's').get('a'), { currentSlots: 20, forecastSlots: 20 })
  t.same(versionDemand(rates, 's'), [{ model: 'a', softwareVersion: 'v1', takeUpSlots: 6, openStreams: 0 }])
})

t.test('open streams of all hosts are summed, beside take-ups, and count as no requests', async (t) => {
  const open = (openStreams: number) => ({ service: 's', model: 'a', softwareVersion: 'v1', openStreams, requestsPerS: 0, slowRequestsPerS: 0, holdMs: 0 })
  const takeUps = { service: 's', model: 'a', softwareVersion: 'v1', requestsPerS: 3, slowRequestsPerS: 2, holdMs: 1_000 }
  t.same(versionDemand([open(3), takeUps, open(4)], 's'), [{ model: 'a', softwareVersion: 'v1', takeUpSlots: 2, openStreams: 7 }])
  t.equal(forecastDemand([open(3), takeUps], 's').size, 0)
})
