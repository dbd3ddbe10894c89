/**
 * The runners that this host may use: entries of the platform's list, corrected by what their answers show.
 * Pure state; times are monotonic milliseconds.
 */
import { RunnerHealth } from '@figloom/routing'
import { LeavingRunners } from '../closures/leaving-runners.js'
import type { ResidentModel, RunnerEntry } from './types.js'

/** A model or adapter that a runner denied holding is not asked for again in this time, whatever its entry says. */
const DENIED_MS = 1_500
/** A runner that took no connection counts as gone for this long. */
const UNREACHABLE_MS = 2_000
/** What was learned of a runner from orders counts above its entry in this time: entries lag by a heartbeat. */
const LEARNED_MS = 4_000

export type RunnerState = {
  entry: RunnerEntry
  health: RunnerHealth
  /** Requests of this host that the runner works on or queues. */
  inFlight: number
  /** End of the time in which the runner counts as unreachable, since a connection to it failed. */
  unreachableUntilMs: number
  /** Set when the entry disappeared during an outage of the list; the runner is gone at this time unless it returns. */
  goneAtMs?: number
  /** Targets that the runner denied holding, with the end of that knowledge. */
  denied: Map<string, number>
  /** Targets that became resident by an order, with the end of that knowledge. */
  learned: Map<string, number>
}

/** Key of a model, or of one of its adapters. */
export function targetKey (model: string, adapter?: string): string {
  return adapter === undefined ? model : `${model}/${adapter}`
}

export class RunnerTable {
  readonly #runners = new Map<string, RunnerState>()
  #othersUses: ReadonlyMap<string, number> = new Map()

  private constructor (private readonly leavingRunners: LeavingRunners) {}

  /** @param leaving runners that said that they leave, whatever their entries say */
  static create (leaving = LeavingRunners.create()): RunnerTable {
    return new RunnerTable(leaving)
  }

  /** Takes over an entry of the list. */
  upsert (entry: RunnerEntry): void {
    const known = this.#runners.get(entry.id)
    if (known === undefined || isOtherProcess(known.entry, entry)) {
      this.#runners.set(entry.id, createState(entry))
      return
    }
    known.entry = entry
    known.goneAtMs = undefined
  }

  /**
   * An entry disappeared from the list.
   * @param graceMs after an outage of the list, in which a living runner's entry may have expired, the time in
   * which such an entry comes back; 0 otherwise
   */
  remove (id: string, nowMs: number, graceMs: number): void {
    const state = this.#runners.get(id)
    if (state === undefined) return
    if (graceMs <= 0) {
      this.#runners.delete(id)
      return
    }
    state.goneAtMs ??= nowMs + graceMs
  }

  /** Drops runners whose time to return is over; gives their ids. */
  sweep (nowMs: number): string[] {
    const gone = [...this.#runners.values()].filter((state) => state.goneAtMs !== undefined && state.goneAtMs <= nowMs)
    for (const state of gone) this.#runners.delete(state.entry.id)
    return gone.map((state) => state.entry.id)
  }

  get (id: string): RunnerState | undefined {
    return this.#runners.get(id)
  }

  all (): RunnerState[] {
    return [...this.#runners.values()]
  }

  /** Runners of a service that take new work. */
  usable (service: string): RunnerState[] {
    return this.all().filter((state) => state.entry.service === service && this.#takesWork(state))
  }

  /** Runners of a service that said that they leave and are still listed. */
  leaving (service: string): RunnerState[] {
    return this.all().filter(({ entry }) => entry.service === service && this.leavingRunners.isLeaving(entry))
  }

  /** Whether a runner that was chosen may still be sent work. */
  mayUse (state: RunnerState): boolean {
    return this.#takesWork(state) && this.#runners.get(state.entry.id) === state
  }

  #takesWork ({ entry }: RunnerState): boolean {
    return !entry.draining && !this.leavingRunners.isLeaving(entry)
  }

  /** Requests at a runner from all hosts, as far as this host knows. */
  totalInFlight (state: RunnerState): number {
    return state.inFlight + (this.#othersUses.get(state.entry.id) ?? 0)
  }

  /** Takes over what all other hosts have in flight by runner id. */
  setOthersUses (uses: ReadonlyMap<string, number>): void {
    this.#othersUses = uses
  }

  /** Whether a runner holds the target, by its entry and by what was learned since. */
  holds (state: RunnerState, model: string, adapter: string | undefined, nowMs: number): boolean {
    const key = targetKey(model, adapter)
    if ((state.denied.get(key) ?? 0) > nowMs) return false
    if (adapter !== undefined && (state.denied.get(model) ?? 0) > nowMs) return false
    if ((state.learned.get(key) ?? 0) > nowMs) return true
    return isListed(state.entry.models, model, adapter)
  }

  /** A runner took no connection: it is passed over until it is tried again. */
  markUnreachable (id: string, nowMs: number): void {
    const state = this.#runners.get(id)
    if (state === undefined) return
    state.unreachableUntilMs = nowMs + UNREACHABLE_MS
    state.health.eject(nowMs)
  }

  /** A runner answered that it doesn't hold the target. */
  markDenied (id: string, model: string, adapter: string | undefined, nowMs: number): void {
    const state = this.#runners.get(id)
    if (state === undefined) return
    const key = targetKey(model, adapter)
    state.denied.set(key, nowMs + DENIED_MS)
    state.learned.delete(key)
  }

  /** The target is resident since an order was carried out. */
  markResident (id: string, model: string, adapter: string | undefined, nowMs: number): void {
    const state = this.#runners.get(id)
    if (state === undefined) return
    const key = targetKey(model, adapter)
    state.learned.set(key, nowMs + LEARNED_MS)
    state.denied.delete(key)
  }
}

function createState (entry: RunnerEntry): RunnerState {
  return { entry, health: RunnerHealth.create(), inFlight: 0, unreachableUntilMs: -Infinity, denied: new Map(), learned: new Map() }
}

function isOtherProcess (known: RunnerEntry, next: RunnerEntry): boolean {
  return known.startedUnixMs !== next.startedUnixMs || known.address !== next.address
}

function isListed (models: readonly ResidentModel[], model: string, adapter: string | undefined): boolean {
  const resident = models.find((candidate) => candidate.name === model)
  if (resident === undefined) return false
  return adapter === undefined || resident.adapters.includes(adapter)
}
