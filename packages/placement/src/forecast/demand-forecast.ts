/** Recent demand for each model, and a short-term forecast of it. */
import type { ModelKey } from '@figloom/tables'
import type { ModelDemand } from '../types.js'

type History = ModelKey & { fastPerS: number, slowPerS: number, usualPerS: number, peakPerS: number, runnerMsPerRequest: number, copyMsPerRequest: number }

/** Time constants of the moving averages of the request rate. */
const FAST_WINDOW_S = 10
const SLOW_WINDOW_S = 60
const USUAL_WINDOW_S = 600
const PEAK_DECAY_S = 600
/** How far ahead demand is forecast: about the time that loading a model takes. */
const FORECAST_LEAD_S = 20
/** The forecast never exceeds the current rate times this factor. */
const MAX_GROWTH = 3
const SAMPLE_WEIGHT = 0.2

/** Requests of one model since the last observation. The times per request are 0 if none was answered. */
export type DemandSample = ModelKey & { requests: number, runnerMsPerRequest: number, copyMsPerRequest?: number }

export class DemandForecast {
  readonly #histories = new Map<string, History>()
  #observedMs: number

  private constructor (nowMs: number) {
    this.#observedMs = nowMs
  }

  static create (nowMs: number): DemandForecast {
    return new DemandForecast(nowMs)
  }

  /** Records the requests of all models since the last call; a model without a sample had no requests. */
  observe (samples: readonly DemandSample[], nowMs: number): void {
    const elapsedS = Math.max(0.001, (nowMs - this.#observedMs) / 1000)
    this.#observedMs = nowMs
    const byKey = new Map(samples.map((sample) => [`${sample.model}@${sample.version}`, sample]))
    for (const [key, sample] of byKey) if (!this.#histories.has(key)) this.#histories.set(key, newHistory(sample))
    for (const [key, history] of this.#histories) advance(history, byKey.get(key), elapsedS)
  }

  /** Demand for every model that has had a sample. */
  demand (): ModelDemand[] {
    return [...this.#histories.values()].map((history) => ({
      model: history.model,
      version: history.version,
      requestsPerS: history.fastPerS,
      forecastPerS: forecast(history),
      recentPeakPerS: history.peakPerS,
      usualPerS: history.usualPerS,
      runnerMsPerRequest: history.runnerMsPerRequest,
      copyMsPerRequest: history.copyMsPerRequest
    }))
  }
}

function newHistory ({ model, version, runnerMsPerRequest, copyMsPerRequest = 0 }: DemandSample): History {
  return { model, version, fastPerS: 0, slowPerS: 0, usualPerS: 0, peakPerS: 0, runnerMsPerRequest, copyMsPerRequest }
}

function advance (history: History, sample: DemandSample | undefined, elapsedS: number): void {
  const rate = (sample?.requests ?? 0) / elapsedS
  history.fastPerS += (1 - Math.exp(-elapsedS / FAST_WINDOW_S)) * (rate - history.fastPerS)
  history.slowPerS += (1 - Math.exp(-elapsedS / SLOW_WINDOW_S)) * (rate - history.slowPerS)
  history.usualPerS += (1 - Math.exp(-elapsedS / USUAL_WINDOW_S)) * (rate - history.usualPerS)
  history.peakPerS = Math.max(history.fastPerS, history.peakPerS * Math.exp(-elapsedS / PEAK_DECAY_S))
  if (sample === undefined || sample.runnerMsPerRequest <= 0) return
  if (history.runnerMsPerRequest <= 0) history.runnerMsPerRequest = sample.runnerMsPerRequest
  history.runnerMsPerRequest += SAMPLE_WEIGHT * (sample.runnerMsPerRequest - history.runnerMsPerRequest)
  history.copyMsPerRequest += SAMPLE_WEIGHT * ((sample.copyMsPerRequest ?? 0) - history.copyMsPerRequest)
}

/** Extrapolates the trend: the slow average lags the fast one by about the difference of their time constants. */
function forecast (history: History): number {
  const trend = (history.fastPerS - history.slowPerS) / (SLOW_WINDOW_S - FAST_WINDOW_S)
  const extrapolated = history.fastPerS + trend * FORECAST_LEAD_S
  return Math.min(Math.max(history.fastPerS, extrapolated), history.fastPerS * MAX_GROWTH)
}
