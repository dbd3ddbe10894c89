/**
 * Aggregates the requests in flight, the pace of runners and the demand that a host reports to others: its own, and those of the hosts that it reports
 * for. To other relays, a relay reports for the hosts that report to it; to those hosts, it reports for all others. State
 * without I/O.
 */
import { sumPaceReports, type PaceReport } from '../pace/pace-estimator.js'
import type { DemandRate, HostReport } from './types.js'

/** A host that sends no paces for this long has none to report: it sends them every two seconds. */
const PACES_TTL_MS = 5_000

type Source = { runnerUses: Map<string, number>, paces: readonly PaceReport[], pacesMs: number, demand: DemandRate[], speaksForAll: boolean, reportsHere: boolean, receivedMs: number }

export type LocalUsage = { runnerUses: Map<string, number>, demand: readonly DemandRate[] }

export class UsageAggregator {
  readonly #sources = new Map<string, Source>()

  /** @param silentMs a source that hasn't reported for this long is no longer counted */
  private constructor (private readonly silentMs: number) {}

  static create (silentMs: number): UsageAggregator {
    return new UsageAggregator(silentMs)
  }

  /**
   * Applies a report.
   * @param reportsHere the sender reports to this host, which reports for it to other relays
   */
  applyReport (report: HostReport, reportsHere: boolean, nowMs: number): void {
    const { runnerUses, demand, speaksForAll } = report
    const { host: sender } = report.sender.address
    this.sweep(nowMs)
    const paces = this.#pacesOf(report, nowMs)
    // A report on all hosts overlaps with the reports on single groups of hosts: keeping both would count hosts twice.
    for (const [host, source] of this.#sources) {
      if (speaksForAll || source.speaksForAll) this.#sources.delete(host)
    }
    this.#sources.set(sender, { runnerUses, ...paces, demand, speaksForAll, reportsHere, receivedMs: nowMs })
  }

  /** A report without paces leaves those of earlier ones valid for a while. */
  #pacesOf ({ sender, paces }: HostReport, nowMs: number): Pick<Source, 'paces' | 'pacesMs'> {
    if (paces !== undefined) return { paces, pacesMs: nowMs }
    const known = this.#sources.get(sender.address.host)
    return known === undefined || nowMs - known.pacesMs > PACES_TTL_MS ? { paces: [], pacesMs: nowMs } : { paces: known.paces, pacesMs: known.pacesMs }
  }

  sweep (nowMs: number): void {
    for (const [host, { receivedMs }] of this.#sources) {
      if (nowMs - receivedMs >= this.silentMs) this.#sources.delete(host)
    }
  }

  /** Requests in flight at each runner from all other hosts; the report of host `except` is left out if it is given. */
  othersUses (except?: string): Map<string, number> {
    const sources = [...this.#sources].filter(([host]) => host !== except).map(([, source]) => source)
    return sumUses(sources.map(({ runnerUses }) => runnerUses))
  }

  /** Requests in flight to report to another relay: those of this host and the hosts that report to it. */
  groupUses (own: LocalUsage): Map<string, number> {
    return sumUses([own.runnerUses, ...this.#groupSources().map(({ runnerUses }) => runnerUses)])
  }

  /** Requests in flight to report to `host`, which reports here: those of all hosts but `host`. */
  usesExcept (host: string, own: LocalUsage): Map<string, number> {
    return sumUses([own.runnerUses, this.othersUses(host)])
  }

  /** Pace of runners by their answers to all other hosts; the report of host `except` is left out if it is given. */
  othersPaces (except?: string): PaceReport[] {
    return sumPaceReports([...this.#sources].filter(([host]) => host !== except).map(([, { paces }]) => paces))
  }

  /** Pace of runners to report to another relay: by their answers to this host and the hosts that report to it. */
  groupPaces (own: readonly PaceReport[]): PaceReport[] {
    return sumPaceReports([own, ...this.#groupSources().map(({ paces }) => paces)])
  }

  /** Pace of runners to report to `host`, which reports here: by their answers to all hosts but `host`. */
  pacesExcept (host: string, own: readonly PaceReport[]): PaceReport[] {
    return sumPaceReports([own, this.othersPaces(host)])
  }

  /** Demand at this host and the hosts that report to it, one rate for each model or adapter. */
  groupDemand (own: LocalUsage): DemandRate[] {
    return mergeDemand([...own.demand, ...this.#groupSources().flatMap(({ demand }) => demand)])
  }

  /** Demand at other hosts, as far as they report it to this one. */
  othersDemand (): DemandRate[] {
    return [...this.#sources.values()].flatMap(({ demand }) => demand)
  }

  #groupSources (): Source[] {
    return [...this.#sources.values()].filter(({ reportsHere }) => reportsHere)
  }
}

function sumUses (all: readonly Map<string, number>[]): Map<string, number> {
  const total = new Map<string, number>()
  for (const uses of all) {
    for (const [runner, inFlight] of uses) total.set(runner, (total.get(runner) ?? 0) + inFlight)
  }
  return total
}

/** Merges rates of the same model or adapter, and of the same version where one is given. `holdMs` is averaged, weighted by the rate of requests. */
export function mergeDemand (rates: readonly DemandRate[]): DemandRate[] {
  const merged = new Map<string, DemandRate>()
  for (const rate of rates) {
    const key = `${rate.service}\n${rate.model}\n${rate.adapter ?? ''}\n${rate.softwareVersion ?? ''}`
    const known = merged.get(key)
    merged.set(key, known === undefined ? rate : addRates(known, rate))
  }
  return [...merged.values()]
}

function addRates (a: DemandRate, b: DemandRate): DemandRate {
  const slowRequestsPerS = a.slowRequestsPerS + b.slowRequestsPerS
  const weight = slowRequestsPerS === 0 ? 0 : b.slowRequestsPerS / slowRequestsPerS
  return {
    ...a,
    requestsPerS: a.requestsPerS + b.requestsPerS,
    slowRequestsPerS,
    holdMs: a.holdMs + (b.holdMs - a.holdMs) * weight,
    openStreams: (a.openStreams ?? 0) + (b.openStreams ?? 0)
  }
}
