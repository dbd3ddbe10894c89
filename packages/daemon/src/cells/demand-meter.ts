/** Request rates for the models of this host's cells, measured on this host and reported by its peers. */
import type { DemandSample } from '@figloom/placement'
import type { TargetDemand } from '@figloom/routing'
import type { Clock } from '@figloom/runtime'

/** Request rate and cost of one model version in a pool. */
export type DemandRate = Omit<TargetDemand, 'requests'> & { pool: string, requestsPerS: number }

type PeerDemand = { rates: DemandRate[], receivedMs: number }

/** Time constant of the exponential smoothing of this host's own rates, in seconds. */
const SMOOTHING_S = 5
/** Age up to which a peer's rates are used, in milliseconds. */
const PEER_TTL_MS = 5000
/** Own rates that decay below this are dropped, so that they are not reported to peers. */
const MIN_RATE_PER_S = 0.01
const MS_PER_S = 1000

export class DemandMeter {
  readonly #own = new Map<string, DemandRate>()
  readonly #peers = new Map<string, PeerDemand>()
  #recordedMs: number
  readonly #sampledMs = new Map<string, number>()

  private constructor (private readonly clock: Clock) {
    this.#recordedMs = clock.monotonicMs()
  }

  static create (clock: Clock): DemandMeter {
    return new DemandMeter(clock)
  }

  /** Records the requests of each pool since the last call. */
  recordRequests (pools: readonly { pool: string, demand: readonly TargetDemand[] }[]): void {
    const nowMs = this.clock.monotonicMs()
    const elapsedS = Math.max(0.001, (nowMs - this.#recordedMs) / MS_PER_S)
    this.#recordedMs = nowMs
    const weight = 1 - Math.exp(-elapsedS / SMOOTHING_S)
    for (const rate of this.#own.values()) rate.requestsPerS *= 1 - weight
    for (const { pool, demand } of pools) {
      for (const sample of demand) this.#add(pool, sample, weight / elapsedS)
    }
    for (const [key, rate] of this.#own) if (rate.requestsPerS < MIN_RATE_PER_S) this.#own.delete(key)
  }

  /** This host's own rates, which it reports to its peers. */
  get ownRates (): DemandRate[] {
    return [...this.#own.values()]
  }

  /** Replaces the rates of a peer. */
  setPeerRates (host: string, rates: DemandRate[]): void {
    this.#peers.set(host, { rates, receivedMs: this.clock.monotonicMs() })
  }

  /** Estimated requests for the models of a pool on all hosts since the last call for that pool. */
  takeSamples (pool: string): DemandSample[] {
    const nowMs = this.clock.monotonicMs()
    const elapsedS = (nowMs - (this.#sampledMs.get(pool) ?? nowMs)) / MS_PER_S
    this.#sampledMs.set(pool, nowMs)
    const samples = new Map<string, DemandSample>()
    for (const rate of this.#allRates(nowMs)) {
      if (rate.pool !== pool) continue
      const key = `${rate.model}@${rate.version}`
      samples.set(key, mergeSample(samples.get(key), rate, rate.requestsPerS * elapsedS))
    }
    return [...samples.values()]
  }

  #allRates (nowMs: number): DemandRate[] {
    for (const [host, { receivedMs }] of this.#peers) if (nowMs - receivedMs > PEER_TTL_MS) this.#peers.delete(host)
    return [...this.#own.values(), ...[...this.#peers.values()].flatMap(({ rates }) => rates)]
  }

  #add (pool: string, { requests, ...target }: TargetDemand, weightPerS: number): void {
    if (requests === 0) return
    const key = `${pool}/${target.model}@${target.version}`
    const known = this.#own.get(key)
    const cost = known !== undefined && target.runnerMsPerRequest === 0 ? known : target
    const { runnerMsPerRequest, copyMsPerRequest } = cost
    const requestsPerS = (known?.requestsPerS ?? 0) + requests * weightPerS
    this.#own.set(key, { pool, ...target, runnerMsPerRequest, copyMsPerRequest, requestsPerS })
  }
}

function mergeSample (known: DemandSample | undefined, rate: DemandRate, requests: number): DemandSample {
  const { model, version, runnerMsPerRequest, copyMsPerRequest } = rate
  if (known === undefined) return { model, version, requests, runnerMsPerRequest, copyMsPerRequest }
  const total = known.requests + requests
  const share = total === 0 ? 0 : requests / total
  return {
    model,
    version,
    requests: total,
    runnerMsPerRequest: known.runnerMsPerRequest * (1 - share) + runnerMsPerRequest * share,
    copyMsPerRequest: (known.copyMsPerRequest ?? 0) * (1 - share) + copyMsPerRequest * share
  }
}
