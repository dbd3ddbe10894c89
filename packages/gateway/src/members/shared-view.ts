/**
 * What a host tells others of use and demand: its own, and that of the hosts for which it speaks to the receiver. A relay
 * speaks to other relays for the hosts that report to it, and to these for everybody else. Pure state.
 */
import type { DemandRate, HostReport } from './types.js'

type Source = { runnerUses: Map<string, number>, demand: DemandRate[], speaksForAll: boolean, reportsHere: boolean, heardMs: number }

export type OwnShare = { runnerUses: Map<string, number>, demand: readonly DemandRate[] }

export class SharedView {
  readonly #sources = new Map<string, Source>()

  /** @param silentMs a source that was silent for this long doesn't count any more */
  private constructor (private readonly silentMs: number) {}

  static create (silentMs: number): SharedView {
    return new SharedView(silentMs)
  }

  /** Takes over a report; `reportsHere`: this host speaks for the sender. */
  hear (report: HostReport, reportsHere: boolean, nowMs: number): void {
    const { runnerUses, demand, speaksForAll } = report
    this.sweep(nowMs)
    // Word for all hosts and word for single groups would count hosts twice.
    for (const [host, source] of this.#sources) {
      if (speaksForAll || source.speaksForAll) this.#sources.delete(host)
    }
    this.#sources.set(report.sender.address.host, { runnerUses, demand, speaksForAll, reportsHere, heardMs: nowMs })
  }

  sweep (nowMs: number): void {
    for (const [host, { heardMs }] of this.#sources) {
      if (nowMs - heardMs >= this.silentMs) this.#sources.delete(host)
    }
  }

  /** Requests in flight at each runner from all other hosts, or from all but `except` too. */
  othersUses (except?: string): Map<string, number> {
    const sources = [...this.#sources].filter(([host]) => host !== except).map(([, source]) => source)
    return sumUses(sources.map(({ runnerUses }) => runnerUses))
  }

  /** Use to tell another relay. */
  groupUses (own: OwnShare): Map<string, number> {
    return sumUses([own.runnerUses, ...this.#group().map(({ runnerUses }) => runnerUses)])
  }

  /** Use to tell a host that reports here. */
  usesBut (host: string, own: OwnShare): Map<string, number> {
    return sumUses([own.runnerUses, this.othersUses(host)])
  }

  /** Demand at this host and those that report to it, by target. */
  groupDemand (own: OwnShare): DemandRate[] {
    return mergeDemand([...own.demand, ...this.#group().flatMap(({ demand }) => demand)])
  }

  /** Demand at all other hosts, as far as they were asked for it. */
  othersDemand (): DemandRate[] {
    return [...this.#sources.values()].flatMap(({ demand }) => demand)
  }

  #group (): Source[] {
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

/** One rate a target; the time that requests hold a place is averaged by their number. */
export function mergeDemand (rates: readonly DemandRate[]): DemandRate[] {
  const merged = new Map<string, DemandRate>()
  for (const rate of rates) {
    const key = `${rate.service}\n${rate.model}\n${rate.adapter ?? ''}`
    const known = merged.get(key)
    merged.set(key, known === undefined ? rate : addRates(known, rate))
  }
  return [...merged.values()]
}

function addRates (one: DemandRate, other: DemandRate): DemandRate {
  const slowRequestsPerS = one.slowRequestsPerS + other.slowRequestsPerS
  const weight = slowRequestsPerS === 0 ? 0 : other.slowRequestsPerS / slowRequestsPerS
  return {
    ...one,
    requestsPerS: one.requestsPerS + other.requestsPerS,
    slowRequestsPerS,
    holdMs: one.holdMs + (other.holdMs - one.holdMs) * weight
  }
}
