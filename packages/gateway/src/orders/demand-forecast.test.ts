import t from 'tap'
import type { DemandRate } from '../members/types.js'
import { forecastDemand } from './demand-forecast.js'

function rate (model: string, requestsPerS: number, slowRequestsPerS: number, changes: Partial<DemandRate> = {}): DemandRate {
  return { service: 's', model, requestsPerS, slowRequestsPerS, holdMs: 2_000, ...changes }
}

function coming (rates: DemandRate[], model: string): number {
  return forecastDemand(rates, 's').get(model)?.comingPlaces ?? 0
}

t.test('steady demand stays as it is', async (t) => {
  t.same(forecastDemand([rate('a', 10, 10)], 's').get('a'), { nowPlaces: 20, comingPlaces: 20 })
})

t.test('demand that moves is carried on, within what there is in all', async (t) => {
  const rates = [rate('a', 10, 20), rate('b', 20, 10)]
  t.ok(coming(rates, 'a') < 20)
  t.ok(coming(rates, 'b') > 40)
  t.ok(coming(rates, 'a') + coming(rates, 'b') <= 60.01)
})

t.test('what chance may show is no trend', async (t) => {
  t.equal(coming([rate('a', 1.1, 1)], 'a').toFixed(1), '2.2')
})

t.test('hosts add up, other services and adapters do not count', async (t) => {
  const rates = [rate('a', 5, 5), rate('a', 5, 5), rate('a', 5, 5, { service: 'other' }), rate('a', 5, 5, { adapter: 'x' })]
  t.equal(coming(rates, 'a'), 20)
})

t.test('no demand, no forecast', async (t) => {
  t.equal(forecastDemand([], 's').size, 0)
})
