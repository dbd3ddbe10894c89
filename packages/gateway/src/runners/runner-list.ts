/**
 * The platform's list of runners, from this host's own reads and from the updates that other hosts forward. Records are ordered
 * only by their position in the platform's history: an older record changes nothing, whatever its source and whenever it
 * arrives. Pure state; times are milliseconds of a clock that also counts suspensions.
 */
import { eraOf, startOfEra, type Position } from '../eras/position.js'
import { reconcileRecord, type KnownRecord } from './reconcile-record.js'
import type { RunnerListUpdate, RunnerRecord } from './types.js'

/** Records of runners that left are kept for updates to other hosts; a host that missed more gets the whole list. */
const MAX_LEFT_RECORDS = 500

export class RunnerList {
  readonly #known = new Map<string, KnownRecord>()
  #position: Position | undefined
  #asOfMs = -Infinity
  /** Records of runners that left before this position are no longer kept. */
  #leftKeptFrom: Position = 0

  private constructor () {}

  static create (): RunnerList {
    return new RunnerList()
  }

  /** All records before this position have been applied; undefined before the first list. */
  get position (): Position | undefined {
    return this.#position
  }

  /** The list contains all records that the platform had at this time. */
  get asOfMs (): number {
    return this.#asOfMs
  }

  /** Applies an update; returns the records that changed an entry, in no particular order. */
  apply (update: RunnerListUpdate, nowMs: number): RunnerRecord[] {
    const changed = update.records.filter((record) => this.#applyRecord(record))
    if (update.since === undefined) changed.push(...this.#dropUnlisted(update))
    this.#advance(update, nowMs)
    this.#pruneLeft()
    return changed
  }

  /** The update for a host that knows the records before `position`; the whole list if too many runners have left since. */
  updateSince (position: Position | undefined, nowMs: number): RunnerListUpdate | undefined {
    if (this.#position === undefined) return undefined
    const to = this.#position
    const ageMs = nowMs - this.#asOfMs
    if (position === undefined || position < this.#leftKeptFrom || eraOf(position) !== eraOf(to)) {
      return { to, ageMs, records: this.#records(({ entry }) => entry !== undefined) }
    }
    return { since: Math.min(position, to), to, ageMs, records: this.#records(({ changedPosition }) => changedPosition >= position) }
  }

  /** Drops everything: the platform's history restarted from the beginning. */
  clear (): void {
    this.#known.clear()
    this.#position = undefined
    this.#asOfMs = -Infinity
    this.#leftKeptFrom = 0
  }

  #records (isWanted: (known: KnownRecord) => boolean): RunnerRecord[] {
    return [...this.#known.values()].filter(isWanted).map(({ id, position, entry }) => ({ id, position, entry }))
  }

  #applyRecord (record: RunnerRecord): boolean {
    if (record.position < (this.#position ?? 0)) return false
    const known = this.#known.get(record.id)
    if (known !== undefined && isKnown(known, record)) return false
    const next = reconcileRecord(known, record)
    this.#known.set(record.id, next)
    return known?.entry !== next.entry
  }

  /** Removes the runners that a whole list lacks, unless a record after its end names them. */
  #dropUnlisted ({ to, records }: RunnerListUpdate): RunnerRecord[] {
    if (to < (this.#position ?? 0)) return []
    const listed = new Set(records.map(({ id }) => id))
    const gone = this.#records(({ id, position, entry }) => entry !== undefined && position < to && !listed.has(id))
    return gone.map(({ id }) => {
      const left = { id, position: Math.max(to - 1, startOfEra(to)), entry: undefined }
      this.#known.set(id, reconcileRecord(this.#known.get(id), left))
      return left
    })
  }

  #advance ({ since, to, ageMs }: RunnerListUpdate, nowMs: number): void {
    const position = this.#position
    if (since !== undefined && (position === undefined || since > position)) return
    // A whole list doesn't show which runners came and left before its end.
    if (since === undefined && to > (position ?? -Infinity)) this.#leftKeptFrom = to
    this.#position = Math.max(position ?? 0, to)
    if (ageMs !== undefined) this.#asOfMs = Math.max(this.#asOfMs, nowMs - ageMs)
  }

  #pruneLeft (): void {
    const left = this.#records(({ entry }) => entry === undefined)
    if (left.length <= MAX_LEFT_RECORDS) return
    left.sort((one, other) => other.position - one.position)
    for (const { id, position } of left.slice(MAX_LEFT_RECORDS)) {
      this.#known.delete(id)
      this.#leftKeptFrom = Math.max(this.#leftKeptFrom, position + 1)
    }
  }
}

/** Records of runners that a whole list lacks have the position of its last record, or that of the next one if it is empty. */
function isKnown (known: KnownRecord, record: RunnerRecord): boolean {
  if (known.position !== record.position) return known.position > record.position
  return known.entry !== undefined || record.entry === undefined
}
