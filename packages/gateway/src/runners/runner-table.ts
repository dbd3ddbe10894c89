/**
 * The runners that this host may use: entries of the platform's list, corrected by the runners' answers.
 * Pure state; times are monotonic milliseconds.
 */
import { RunnerHealth } from '@figloom/routing'
import { LeavingRunners } from '../gates/leaving-runners.js'
import { rankOf } from '../choose/rendezvous.js'
import type { RunnerLoad } from '../limits/types.js'
import { PaceEstimator } from '../pace/pace-estimator.js'
import { SlowStart } from '../pace/slow-start.js'
import type { ResidentModel, RunnerEntry } from './types.js'

/** For this long after a runner reported that it lacks a model or adapter, its entry is ignored for this model or adapter. */
const NOT_RESIDENT_TTL_MS = 1_500
/** A runner that accepted no connection counts as unreachable for this long. */
const UNREACHABLE_TTL_MS = 2_000
/** For this long the result of an order takes precedence over the runner's entry, as entries lag by a heartbeat. */
const RESIDENT_TTL_MS = 4_000

export type RunnerState = {
  entry: RunnerEntry
  health: RunnerHealth
  /** Limits the requests to a runner that has just started or recovered; absent for others. */
  slowStart?: SlowStart
  /** Requests of this host that the runner executes or queues. */
  inFlight: number
  /** End of the time for which the runner counts as unreachable after a failed connection. */
  unreachableUntilMs: number
  /** Set when the entry disappeared during an outage of the list; the runner is removed at this time unless the entry returns. */
  removeAtMs?: number
  /** Targets that the runner reported it lacks, with the time until which that takes precedence over its entry. */
  notResidentUntilMs: Map<string, number>
  /** Targets that an order made resident, with the time until which that takes precedence over the runner's entry. */
  residentUntilMs: Map<string, number>
}

/** Key of a model, or of one of its adapters. */
export function targetKey (model: string, adapter?: string): string {
  return adapter === undefined ? model : `${model}/${adapter}`
}

export class RunnerTable {
  readonly paces = PaceEstimator.create()
  readonly #runners = new Map<string, RunnerState>()
  #otherHostsInFlight: ReadonlyMap<string, number> = new Map()

  private constructor (private readonly leavingRunners: LeavingRunners, private readonly host: string) {}

  /**
   * @param leaving runners that announced that they leave, whatever their entries state
   * @param host name of this host
   */
  static create (leaving = LeavingRunners.create(), host = ''): RunnerTable {
    return new RunnerTable(leaving, host)
  }

  /**
   * Adds or updates a runner from an entry of the list.
   * @param startedMs for an entry that is new in a list known before, when it was seen: its runner has just started
   */
  upsert (entry: RunnerEntry, startedMs?: number): void {
    const known = this.#runners.get(entry.id)
    if (known === undefined || isOtherProcess(known.entry, entry)) {
      const state = createState(entry)
      this.#runners.set(entry.id, state)
      if (startedMs !== undefined) this.startSlowly(state, startedMs)
      return
    }
    if (startedMs !== undefined && known.entry.draining && !entry.draining) this.startSlowly(known, startedMs)
    known.entry = entry
    known.removeAtMs = undefined
  }

  /**
   * Removes a runner whose entry disappeared from the list, at once or after a grace period.
   * @param graceMs after an outage of the list, in which a live runner's entry may have expired, the time for such an entry to
   * return; 0 otherwise
   */
  remove (id: string, nowMs: number, graceMs: number): void {
    const state = this.#runners.get(id)
    if (state === undefined) return
    if (graceMs <= 0) {
      this.#runners.delete(id)
      return
    }
    state.removeAtMs ??= nowMs + graceMs
  }

  /** Removes runners whose grace period is over; returns their ids. */
  sweep (nowMs: number): string[] {
    const gone = [...this.#runners.values()].filter((state) => state.removeAtMs !== undefined && state.removeAtMs <= nowMs)
    for (const state of gone) this.#runners.delete(state.entry.id)
    return gone.map((state) => state.entry.id)
  }

  /** The runner has started or recovered, or does so at this time: it gets few requests at first. */
  startSlowly (state: RunnerState, fromMs: number): void {
    const { id, slots } = state.entry
    state.slowStart = SlowStart.create({ slots, fromMs, rank: rankOf(this.host, id) })
  }

  /** Runners whose requests are limited since they have just started or recovered. */
  startingSlowly (nowMs: number): RunnerState[] {
    return this.all().filter(({ slowStart }) => slowStart !== undefined && slowStart.limit(nowMs) !== Infinity)
  }

  get (id: string): RunnerState | undefined {
    return this.#runners.get(id)
  }

  all (): RunnerState[] {
    return [...this.#runners.values()]
  }

  /** Runners of a service that accept new work. */
  usable (service: string): RunnerState[] {
    return this.all().filter((state) => state.entry.service === service && this.#acceptsWork(state))
  }

  /** Runners of a service that announced that they leave and are still listed. */
  leaving (service: string): RunnerState[] {
    return this.all().filter(({ entry }) => entry.service === service && this.leavingRunners.isLeaving(entry))
  }

  /** Whether a runner that was chosen may still be sent work. */
  mayUse (state: RunnerState): boolean {
    return this.#acceptsWork(state) && this.#runners.get(state.entry.id) === state
  }

  #acceptsWork ({ entry }: RunnerState): boolean {
    return !entry.draining && !this.leavingRunners.isLeaving(entry)
  }

  /** Requests in flight at a runner from all hosts, as far as this host knows. */
  totalInFlight (state: RunnerState): number {
    return state.inFlight + (this.#otherHostsInFlight.get(state.entry.id) ?? 0)
  }

  /** What is known of a runner's load; undefined if it isn't listed. */
  loadOf (id: string): RunnerLoad | undefined {
    const state = this.#runners.get(id)
    if (state === undefined) return undefined
    const { service, slots } = state.entry
    return { service, slots: Math.max(1, slots), ownInFlight: state.inFlight, totalInFlight: this.totalInFlight(state) }
  }

  /** Sets the requests that all other hosts together have in flight, by runner id. */
  setOtherHostsInFlight (counts: ReadonlyMap<string, number>): void {
    this.#otherHostsInFlight = counts
  }

  /** Whether the target is resident on a runner, by its entry and by more recent answers. */
  holds (state: RunnerState, model: string, adapter: string | undefined, nowMs: number): boolean {
    const key = targetKey(model, adapter)
    if ((state.notResidentUntilMs.get(key) ?? 0) > nowMs) return false
    if (adapter !== undefined && (state.notResidentUntilMs.get(model) ?? 0) > nowMs) return false
    if ((state.residentUntilMs.get(key) ?? 0) > nowMs) return true
    return isListed(state.entry.models, model, adapter)
  }

  /** A runner accepted no connection: it isn't chosen until the next probe. */
  markUnreachable (id: string, nowMs: number): void {
    const state = this.#runners.get(id)
    if (state === undefined) return
    state.unreachableUntilMs = nowMs + UNREACHABLE_TTL_MS
    state.health.eject(nowMs)
    this.startSlowly(state, state.health.ejectedUntilMs)
  }

  /** A runner answered that the target isn't resident on it. */
  markNotResident (id: string, model: string, adapter: string | undefined, nowMs: number): void {
    const state = this.#runners.get(id)
    if (state === undefined) return
    const key = targetKey(model, adapter)
    state.notResidentUntilMs.set(key, nowMs + NOT_RESIDENT_TTL_MS)
    state.residentUntilMs.delete(key)
  }

  /** An order made the target resident on a runner. */
  markResident (id: string, model: string, adapter: string | undefined, nowMs: number): void {
    const state = this.#runners.get(id)
    if (state === undefined) return
    const key = targetKey(model, adapter)
    state.residentUntilMs.set(key, nowMs + RESIDENT_TTL_MS)
    state.notResidentUntilMs.delete(key)
  }
}

function createState (entry: RunnerEntry): RunnerState {
  return {
    entry,
    health: RunnerHealth.create(),
    inFlight: 0,
    unreachableUntilMs: -Infinity,
    notResidentUntilMs: new Map(),
    residentUntilMs: new Map()
  }
}

function isOtherProcess (known: RunnerEntry, next: RunnerEntry): boolean {
  return known.startedUnixMs !== next.startedUnixMs || known.address !== next.address
}

function isListed (models: readonly ResidentModel[], model: string, adapter: string | undefined): boolean {
  const resident = models.find((candidate) => candidate.name === model)
  if (resident === undefined) return false
  return adapter === undefined || resident.adapters.includes(adapter)
}
