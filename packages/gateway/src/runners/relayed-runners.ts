/**
 * The list of runners by the word of relays, so that not every host has to read it from the platform. What is known never
 * goes back: another relay's list is taken over only once it was read later than what this host knows. Pure state; times
 * are monotonic milliseconds.
 */
import { ListView, type ListUpdate, type ListVersion } from '../members/change-list.js'
import type { RunnerEntry } from './types.js'

/** A relay's word on the runners. */
export type RunnerNews = {
  relay: string
  update: ListUpdate<RunnerEntry>
  /** The relay read its list from the platform at this time or later. */
  readMs: number
}

/** What changes in the list that this host goes by. */
export type RunnerListChange = { entries: RunnerEntry[], removed: string[], complete: boolean }

export class RelayedRunners {
  readonly #views = new Map<string, ListView<RunnerEntry>>()
  #source: string | undefined
  #knownMs = -Infinity

  private constructor () {}

  static create (): RelayedRunners {
    return new RelayedRunners()
  }

  /** What this host has of a relay's list. */
  seen (relay: string): ListVersion | undefined {
    return this.#views.get(relay)?.seen
  }

  /** This host read the list itself. */
  onOwnRead (nowMs: number): void {
    this.#source = undefined
    this.#knownMs = nowMs
  }

  /** Age of what this host knows, whoever read it. */
  ageMs (nowMs: number): number {
    return nowMs - this.#knownMs
  }

  /** Takes over a relay's word; undefined where it is older than what is known here. */
  hear ({ relay, update, readMs }: RunnerNews): RunnerListChange | undefined {
    const view = this.#views.get(relay) ?? ListView.create(({ id }: RunnerEntry) => id)
    this.#views.set(relay, view)
    view.apply(update)
    const follows = this.#source === relay
    if (view.seen === undefined || (!follows && readMs < this.#knownMs)) return undefined
    this.#source = relay
    this.#knownMs = Math.max(this.#knownMs, readMs)
    if (follows && !update.complete) return { entries: update.items, removed: update.removed, complete: false }
    return { entries: [...view.items], removed: [], complete: true }
  }

  /** Forgets the lists of relays that are not in contact any more. */
  retain (relays: ReadonlySet<string>): void {
    for (const relay of this.#views.keys()) {
      if (!relays.has(relay)) this.#views.delete(relay)
    }
  }
}
