/** The runners of a cell as one host sees them, and the candidates for a request. */
import { Priority } from '@figloom/tables'
import { isEligible, type Candidate } from '../choose/choose-runner.js'
import { PrefixIndex, prefixKeys, type PrefixEvent } from '../prefix-index/prefix-index.js'
import { targetKey, type PeerLoad, type RouteRequest, type RunnerInfo, type Target } from '../types.js'
import type { DeciderOptions } from './options.js'
import { RunnerState, type RunnerStatus } from './runner-state.js'

/** Runners that may take a request and the total slots within their limits. Includes ejected ones only if no other holds the model. */
export type AvailableRunners = { candidates: Candidate[], slots: number }

export class RunnerTable {
  readonly #runners = new Map<string, RunnerState>()
  readonly #prefixes = PrefixIndex.create()

  private constructor (private readonly options: DeciderOptions) {}

  static create (options: DeciderOptions): RunnerTable {
    return new RunnerTable(options)
  }

  get (runner: string): RunnerState | undefined {
    return this.#runners.get(runner)
  }

  /** Replaces the list of runners and their copies. Load, health and latency data of remaining runners is kept. */
  setRunners (infos: readonly RunnerInfo[]): void {
    const names = new Set(infos.map((info) => info.name))
    for (const name of this.#runners.keys()) if (!names.has(name)) this.#removeRunner(name)
    for (const info of infos) {
      const known = this.#runners.get(info.name)
      if (known === undefined) this.#runners.set(info.name, RunnerState.create(info, this.options.createLimit))
      else known.update(info)
    }
  }

  /** Whether any runner that is not draining holds the target. */
  serves (target: Target): boolean {
    return [...this.#runners.values()].some((state) => !state.info.draining && state.holds(target))
  }

  /** Candidates for a request, without the runner `except`. */
  availableFor (request: RouteRequest, nowMs: number, except?: string): AvailableRunners {
    const holders: Candidate[] = []
    const keys = prefixKeysOf(request)
    for (const [name, state] of this.#runners) {
      if (name === except || state.info.draining || !state.holds(request.target)) continue
      holders.push(this.#candidate(state, request, keys, nowMs))
    }
    const healthy = holders.filter(isEligible)
    const candidates = healthy.length > 0 ? healthy : holders.map((candidate) => ({ ...candidate, healthy: true }))
    return { candidates, slots: candidates.reduce((sum, { limit, copyLimit }) => sum + Math.min(limit, copyLimit), 0) }
  }

  /** Prompt tokens of a request that a runner has to process because they are not cached. */
  ownTokens (state: RunnerState, request: RouteRequest): number {
    return request.promptTokens - this.#cachedTokens(state, request, prefixKeysOf(request))
  }

  roundTripMs (state: RunnerState): number {
    const same = state.info.availabilityZone === this.options.availabilityZone
    return same ? this.options.sameZoneRoundTripMs : this.options.otherZoneRoundTripMs
  }

  /** Records that a runner probably caches the prompt of a request sent to it. */
  onSent (runner: string, request: RouteRequest): void {
    this.#prefixes.onSent(runner, prefixKeysOf(request))
  }

  onCacheEvents (runner: string, events: readonly PrefixEvent[]): void {
    this.#prefixes.onEvents(runner, events)
  }

  /** The engine's process was replaced, so its prefix cache is empty. */
  onEngineReplaced (runner: string): void {
    this.#prefixes.reset(runner)
  }

  /** This host's load on each runner, to be reported to other hosts. */
  ownLoads (host: string): PeerLoad[] {
    return [...this.#runners.values()].map(({ info, load }) => (
      { host, runner: info.name, inFlight: load.inFlight, pendingTokens: load.ownPendingTokens }))
  }

  status (nowMs: number): RunnerStatus[] {
    return [...this.#runners.values()].map((state) => state.status(nowMs))
  }

  #removeRunner (name: string): void {
    this.#runners.delete(name)
    this.#prefixes.reset(name)
  }

  #candidate (state: RunnerState, request: RouteRequest, keys: readonly string[], nowMs: number): Candidate {
    const load = state.load.total(nowMs)
    const key = targetKey(request.target)
    const share = request.priority === Priority.Batch ? this.options.batchShare : 1
    return {
      runner: state.info.name,
      availabilityZone: state.info.availabilityZone,
      resident: true,
      healthy: state.health.accepts(nowMs),
      draining: state.info.draining,
      load,
      limit: Math.floor(state.limit.value * share),
      copyLoad: state.load.totalForModel(key, nowMs),
      copyLimit: Math.floor(state.copyLimit(key).value * share),
      pendingTokens: state.load.pendingTokens(nowMs),
      prefillMsPerToken: state.latency.prefillMsPerToken,
      stepMs: state.latency.stepMs(load + 1),
      roundTripMs: this.roundTripMs(state),
      cachedTokens: this.#cachedTokens(state, request, keys)
    }
  }

  #cachedTokens (state: RunnerState, request: RouteRequest, keys: readonly string[]): number {
    return request.promptTokens * this.#prefixes.expectedShare(state.info.name, keys)
  }
}

function prefixKeysOf (request: RouteRequest): string[] {
  return request.prefixHashes.length === 0 ? [] : prefixKeys(targetKey(request.target), request.prefixHashes)
}
