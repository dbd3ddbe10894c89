/**
 * Forecasts the demand for each model: now, and at the time when a load that starts now completes. Demand shifts from one
 * model to another over several seconds, so its trend is extrapolated as far as it exceeds random variation. Pure.
 */
import type { DemandRate } from '../members/types.js'
import { FAST_MS, SLOW_MS } from '../serve/demand-meter.js'

/** Slots that the requests for a model occupy at any moment: their rate times how long each one holds its slot. */
export type ModelDemand = { currentSlots: number, forecastSlots: number }

/** Slots that streams need at a version at which no runner holds their model. */
export type TakeUpDemand = { model: string, softwareVersion: string, slots: number }

type Rate = { model: string, fastPerS: number, slowPerS: number, holdMs: number }

/** Time ahead that trends are extrapolated: somewhat less than a load takes, as trends end. */
const HORIZON_S = 6
/** Standard deviations of the random variation that are subtracted from a trend. */
const NOISE_DEVIATIONS = 0.5
const LAG_S = (SLOW_MS - FAST_MS) / 1000
/** Variance of the difference between the fast and the slow average, divided by the rate, for requests that arrive at random. */
const DIFFERENCE_VARIANCE_S = 500 / FAST_MS + 500 / SLOW_MS - 2000 / (FAST_MS + SLOW_MS)

/** Demand for the models of a service, over all hosts. */
export function forecastDemand (rates: readonly DemandRate[], service: string): Map<string, ModelDemand> {
  const forecasts = [...sumOverHosts(rates, service).values()].map(forecastOne)
  const currentPerS = forecasts.reduce((sum, { ratePerS }) => sum + ratePerS, 0)
  const forecastPerS = forecasts.reduce((sum, forecast) => sum + forecast.forecastPerS, 0)
  // Demand shifts between models without growing: the forecasts together must not exceed the present total.
  const scale = Math.min(1, currentPerS / forecastPerS)
  return new Map(forecasts.map(({ rate, ratePerS, forecastPerS }) => {
    const holdS = rate.holdMs / 1000
    return [rate.model, { currentSlots: ratePerS * holdS, forecastSlots: forecastPerS * scale * holdS }]
  }))
}

/** Demand of callers that continue streams, over all hosts; over several seconds, as they come at once when a runner is lost. */
export function takeUpDemand (rates: readonly DemandRate[], service: string): TakeUpDemand[] {
  return rates.flatMap((rate) => {
    if (rate.service !== service || rate.softwareVersion === undefined) return []
    return [{ model: rate.model, softwareVersion: rate.softwareVersion, slots: rate.slowRequestsPerS * rate.holdMs / 1000 }]
  })
}

function sumOverHosts (rates: readonly DemandRate[], service: string): Map<string, Rate> {
  const sums = new Map<string, Rate>()
  for (const rate of rates) {
    if (rate.service !== service || rate.adapter !== undefined || rate.softwareVersion !== undefined) continue
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
  const trendPerS2 = trendOf(rate)
  const ratePerS = Math.max(0, rate.fastPerS + trendPerS2 * FAST_MS / 1000)
  return { rate, ratePerS, forecastPerS: Math.max(0, ratePerS + trendPerS2 * HORIZON_S) }
}

/** Change of the rate per second, less the part that random variation explains. */
function trendOf ({ fastPerS, slowPerS }: Rate): number {
  const trend = (fastPerS - slowPerS) / LAG_S
  const noise = Math.sqrt(Math.max(fastPerS, slowPerS) * DIFFERENCE_VARIANCE_S) / LAG_S
  return Math.sign(trend) * Math.max(0, Math.abs(trend) - NOISE_DEVIATIONS * noise)
}
