import { Agent } from 'undici'
import { JsonHttp } from '@figloom/clients'
import type { Clock } from '@figloom/runtime'
import type { AttemptContext } from '../caller/attempt.js'
import { callOnce } from '../caller/caller.js'
import { LookupCache } from '../caller/lookup.js'
import type { RequestOutcome } from '../caller/types.js'
import { planLoad, type PlannedRequest } from '../plan/plan.js'
import { RouteTally } from '../report/route-tally.js'
import { RunCheck } from '../report/run-check.js'
import { readEngineStats, readServiceStats, sumEngineOperations } from '../report/stats.js'
import type { LoadReport } from '../report/types.js'
import { loadSchema, type LoadConfig, type LoadInput, type LoadRoute } from '../settings/schema.js'

const STATS_TIMEOUT_MS = 5_000
const MS_PER_SECOND = 1_000

/**
 * Runs a load and returns its report. Arrivals end after `durationMs` or once `signal` aborts; requests in flight are then
 * awaited, for at most one request timeout per attempt. Throws if the settings are invalid.
 */
export async function runLoad (input: LoadInput, clock: Clock, signal?: AbortSignal): Promise<LoadReport> {
  const config = loadSchema.parse(input)
  const http = JsonHttp.create({ clock })
  const agent = new Agent({ connections: config.concurrency, headersTimeout: 0, bodyTimeout: 0 })
  try {
    return await LoadRun.create(config, clock, http, agent).run(signal)
  } finally {
    await Promise.all([http.close(), agent.destroy()])
  }
}

/** State of a running load. */
class LoadRun {
  readonly #context: AttemptContext
  readonly #lookup: LookupCache
  readonly #total = RouteTally.create('total')
  readonly #tallies: Map<LoadRoute, RouteTally>
  readonly #runCheck = RunCheck.create()
  readonly #inFlight = new Set<Promise<void>>()
  #notSent = 0

  private constructor (private readonly config: LoadConfig, private readonly clock: Clock, private readonly http: JsonHttp, agent: Agent) {
    this.#context = { clock, agent, timeoutMs: config.requestTimeoutMs }
    this.#lookup = LookupCache.create({
      http, clock, entries: config.entries, availabilityZone: config.availabilityZone, timeoutMs: config.requestTimeoutMs
    })
    this.#tallies = new Map(config.route.map((route) => [route, RouteTally.create(route.label ?? route.name)]))
  }

  static create (config: LoadConfig, clock: Clock, http: JsonHttp, agent: Agent): LoadRun {
    return new LoadRun(config, clock, http, agent)
  }

  async run (signal?: AbortSignal): Promise<LoadReport> {
    const planned = planLoad(this.config)
    const services = await this.#readAll(this.config.serviceStats, readServiceStats)
    const engines = await this.#readAll(this.config.engineStats, readEngineStats)
    const startedAtMs = this.clock.monotonicMs()
    for (const request of planned) {
      const dueAtMs = startedAtMs + request.atMs
      await this.clock.sleep(dueAtMs - this.clock.monotonicMs(), signal)
      if (signal?.aborted) break
      this.#dispatch(request, dueAtMs)
    }
    await Promise.all(this.#inFlight)
    const elapsedMs = this.clock.monotonicMs() - startedAtMs
    const servicePairs = await this.#readAgain(services, readServiceStats)
    const enginePairs = await this.#readAgain(engines, readEngineStats)
    const read = [...servicePairs, ...enginePairs].map(({ url }) => url)
    const total = this.#total.report()
    return {
      seed: this.config.seed,
      elapsedMs,
      planned: planned.length,
      notSent: this.#notSent,
      requestsPerSecond: elapsedMs === 0 ? 0 : total.sent * MS_PER_SECOND / elapsedMs,
      lookups: { ...this.#lookup.counts },
      total,
      routes: [...this.#tallies.values()].map((tally) => tally.report()),
      ...(servicePairs.length === 0 ? {} : { runs: this.#runCheck.report(servicePairs) }),
      ...(enginePairs.length === 0 ? {} : { moves: sumEngineOperations(enginePairs) }),
      unreadStats: [...this.config.serviceStats, ...this.config.engineStats].filter((url) => !read.includes(url))
    }
  }

  #dispatch (request: PlannedRequest, dueAtMs: number): void {
    if (this.#inFlight.size >= this.config.concurrency) {
      this.#notSent += 1
      return
    }
    const sent = this.#send(request, dueAtMs).finally(() => this.#inFlight.delete(sent))
    this.#inFlight.add(sent)
  }

  async #send (request: PlannedRequest, dueAtMs: number): Promise<void> {
    this.#record(request, dueAtMs, await callOnce(this.#context, this.#lookup, request))
    if (!request.resend) return
    const resentAtMs = this.clock.monotonicMs()
    this.#record(request, resentAtMs, await callOnce(this.#context, this.#lookup, request))
  }

  #record (request: PlannedRequest, dueAtMs: number, outcome: RequestOutcome): void {
    this.#total.add(request.route, dueAtMs, outcome)
    this.#tallies.get(request.route)?.add(request.route, dueAtMs, outcome)
    this.#runCheck.add(outcome)
  }

  async #readAll<T> (urls: string[], read: (http: JsonHttp, url: string, timeoutMs: number) => Promise<T | undefined>): Promise<{ url: string, stats: T }[]> {
    const all = await Promise.all(urls.map(async (url) => ({ url, stats: await read(this.http, url, STATS_TIMEOUT_MS) })))
    return all.flatMap(({ url, stats }) => stats === undefined ? [] : [{ url, stats }])
  }

  async #readAgain<T> (before: { url: string, stats: T }[], read: (http: JsonHttp, url: string, timeoutMs: number) => Promise<T | undefined>) {
    const after = await this.#readAll(before.map(({ url }) => url), read)
    return after.map(({ url, stats }) => ({ url, before: before.find((other) => other.url === url)?.stats as T, after: stats }))
  }
}
