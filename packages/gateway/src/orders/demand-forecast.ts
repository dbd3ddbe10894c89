/**
 * What models are asked for now and will be asked for when a load begun now has ended. Demand that moves from one model
 * to another does so over some seconds, so it is carried on along its trend as far as that stands out from chance. Pure.
 */
import type { DemandRate } from '../members/types.js'
import { FAST_MS, SLOW_MS } from '../serve/demand-meter.js'

/** Places that the requests for a model fill at any moment: their rate times how long one holds its place. */
export type ModelDemand = { nowPlaces: number, comingPlaces: number }

type Rate = { model: string, fastPerS: number, slowPerS: number, holdMs: number }

/** How far ahead: somewhat less than a load takes, as trends end. */
const HORIZON_S = 6
/** Standard deviations of chance that a trend has to stand out by. */
const CHANCE_DEVIATIONS = 0.5
const LAG_S = (SLOW_MS - FAST_MS) / 1000
/** Variance of the difference of both averages, as a part of the rate, for requests that arrive at random. */
const DIFFERENCE_VARIANCE_S = 500 / FAST_MS + 500 / SLOW_MS - 2000 / (FAST_MS + SLOW_MS)

/** Demand at all hosts for the models of a service. */
export function forecastDemand (rates: readonly DemandRate[], service: string): Map<string, ModelDemand> {
  const forecasts = [...sumOfHosts(rates, service).values()].map(forecastOne)
  const nowPerS = forecasts.reduce((sum, { perS }) => sum + perS, 0)
  const comingPerS = forecasts.reduce((sum, forecast) => sum + forecast.comingPerS, 0)
  // Demand moves between models: all of them together don't get more than there is.
  const scale = Math.min(1, nowPerS / comingPerS)
  return new Map(forecasts.map(({ rate, perS, comingPerS }) => {
    const holdS = rate.holdMs / 1000
    return [rate.model, { nowPlaces: perS * holdS, comingPlaces: comingPerS * scale * holdS }]
  }))
}

function sumOfHosts (rates: readonly DemandRate[], service: string): Map<string, Rate> {
  const sums = new Map<string, Rate>()
  for (const rate of rates) {
    if (rate.service !== service || rate.adapter !== undefined) continue
    const sum = sums.get(rate.model) ?? { model: rate.model, fastPerS: 0, slowPerS: 0, holdMs: 0 }
    const slowPerS = sum.slowPerS + rate.slowRequestsPerS
    if (slowPerS > 0) sum.holdMs += (rate.holdMs - sum.holdMs) * rate.slowRequestsPerS / slowPerS
    sum.fastPerS += rate.requestsPerS
    sum.slowPerS = slowPerS
    sums.set(rate.model, sum)
  }
  return sums
}

function forecastOne (rate: Rate) {
  const risePerS2 = riseOf(rate)
  const perS = Math.max(0, rate.fastPerS + risePerS2 * FAST_MS / 1000)
  return { rate, perS, comingPerS: Math.max(0, perS + risePerS2 * HORIZON_S) }
}

/** Change of the rate in a second, less what chance alone may show. */
function riseOf ({ fastPerS, slowPerS }: Rate): number {
  const rise = (fastPerS - slowPerS) / LAG_S
  const chance = Math.sqrt(Math.max(fastPerS, slowPerS) * DIFFERENCE_VARIANCE_S) / LAG_S
  return Math.sign(rise) * Math.max(0, Math.abs(rise) - CHANCE_DEVIATIONS * chance)
}
