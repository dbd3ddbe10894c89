/**
 * Forecasts the demand for each model: now, and at the time when a load that starts now completes. Demand shifts from one
 * model to another over several seconds, so its trend is extrapolated as far as it exceeds random variation. Pure.
 */
import type { DemandRate } from '../members/types.js'
import { mergeDemand } from '../members/usage-aggregator.js'
import { FAST_MS, SLOW_MS } from '../serve/demand-meter.js'

/** Slots that the requests for a model occupy at any moment: their rate times how long each one holds its slot. */
export type ModelDemand = { currentSlots: number, forecastSlots: number }

/** Streams that can go on at one version alone. */
export type VersionDemand = {
  model: string
  softwareVersion: string
  /** Slots that callers need who continue streams there while no runner of the version holds the model. */
  takeUpSlots: number
  /** Streams in progress that began there. */
  openStreams: number
}

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

/** Demand of streams at versions, over all hosts; take-ups over several seconds, as they come at once when a runner is lost. */
export function versionDemand (rates: readonly DemandRate[], service: string): VersionDemand[] {
  return mergeDemand(rates).flatMap(({ model, softwareVersion, slowRequestsPerS, holdMs, openStreams = 0, ...rate }) => {
    if (rate.service !== service || softwareVersion === undefined) return []
    return [{ model, softwareVersion, takeUpSlots: slowRequestsPerS * holdMs / 1000, openStreams }]
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
