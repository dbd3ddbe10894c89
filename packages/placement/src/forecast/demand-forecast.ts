/** Short history of the demand for each model, and its forecast. */
import type { ModelKey } from '@figloom/tables'
import type { ModelDemand } from '../types.js'

type History = ModelKey & { fastPerS: number, slowPerS: number, usualPerS: number, peakPerS: number, runnerMsPerRequest: number, copyMsPerRequest: number }

const FAST_S = 10
const SLOW_S = 60
const USUAL_S = 600
const PEAK_DECAY_S = 600
/** Time ahead for which demand is forecast: about one load. */
const LEAD_S = 20
/** The forecast never exceeds this many times the present rate. */
const MAX_GROWTH = 3
const WORK_WEIGHT = 0.2

/** Requests of one model since the last observation; the shares are 0 where nothing was answered. */
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

  /** Takes in the requests of all models since the last call; a model left out had none. */
  observe (samples: readonly DemandSample[], nowMs: number): void {
    const elapsedS = Math.max(0.001, (nowMs - this.#observedMs) / 1000)
    this.#observedMs = nowMs
    const byKey = new Map(samples.map((sample) => [`${sample.model}@${sample.version}`, sample]))
    for (const [key, sample] of byKey) if (!this.#histories.has(key)) this.#histories.set(key, newHistory(sample))
    for (const [key, history] of this.#histories) advance(history, byKey.get(key), elapsedS)
  }

  /** Demand of every model seen. */
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
  history.fastPerS += (1 - Math.exp(-elapsedS / FAST_S)) * (rate - history.fastPerS)
  history.slowPerS += (1 - Math.exp(-elapsedS / SLOW_S)) * (rate - history.slowPerS)
  history.usualPerS += (1 - Math.exp(-elapsedS / USUAL_S)) * (rate - history.usualPerS)
  history.peakPerS = Math.max(history.fastPerS, history.peakPerS * Math.exp(-elapsedS / PEAK_DECAY_S))
  if (sample === undefined || sample.runnerMsPerRequest <= 0) return
  if (history.runnerMsPerRequest <= 0) history.runnerMsPerRequest = sample.runnerMsPerRequest
  history.runnerMsPerRequest += WORK_WEIGHT * (sample.runnerMsPerRequest - history.runnerMsPerRequest)
  history.copyMsPerRequest += WORK_WEIGHT * ((sample.copyMsPerRequest ?? 0) - history.copyMsPerRequest)
}

/** The slow average trails the fast one by about the difference of their time constants. */
function forecast (history: History): number {
  const trend = (history.fastPerS - history.slowPerS) / (SLOW_S - FAST_S)
  const ahead = history.fastPerS + trend * LEAD_S
  return Math.min(Math.max(history.fastPerS, ahead), history.fastPerS * MAX_GROWTH)
}
