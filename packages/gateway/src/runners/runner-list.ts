/**
 * The platform's list of runners as far as this host knows it, by its own reads and by what other hosts pass on. Records are
 * ordered by their position in the platform's history and by nothing else: whoever tells of an older one, and however late,
 * changes nothing. Pure state; times are milliseconds of a clock that also counts suspensions.
 */
import type { RunnerNews, RunnerRecord } from './types.js'

/** Runners that left, remembered so that other hosts can be told; who missed more gets the whole list. */
const MAX_LEFT = 500

type Known = RunnerRecord & {
  /** Position at which the entry last said something new: most records are heartbeats. */
  changedPosition: number
}

export class RunnerList {
  readonly #known = new Map<string, Known>()
  #position: number | undefined
  #asOfMs = -Infinity
  /** Runners that left before this position are forgotten. */
  #leftSince = 0

  private constructor () {}

  static create (): RunnerList {
    return new RunnerList()
  }

  /** All records before this position are taken into account; undefined before the first list. */
  get position (): number | undefined {
    return this.#position
  }

  /** The list holds all that the platform had at this time. */
  get asOfMs (): number {
    return this.#asOfMs
  }

  /** Takes over news; gives the records that change something, in no order. */
  apply (news: RunnerNews, nowMs: number): RunnerRecord[] {
    const changed = news.records.filter((record) => this.#take(record))
    if (news.since === undefined) changed.push(...this.#dropUnlisted(news))
    this.#advance(news, nowMs)
    this.#forgetLeft()
    return changed
  }

  /** What a host lacks that knows the records before `position`; the whole list where too much has left since. */
  changesSince (position: number | undefined, nowMs: number): RunnerNews | undefined {
    if (this.#position === undefined) return undefined
    const to = this.#position
    const ageMs = nowMs - this.#asOfMs
    if (position === undefined || position < this.#leftSince) {
      return { to, ageMs, records: this.#records(({ entry }) => entry !== undefined) }
    }
    return { since: Math.min(position, to), to, ageMs, records: this.#records(({ changedPosition }) => changedPosition >= position) }
  }

  /** Forgets everything: the platform's history starts anew. */
  clear (): void {
    this.#known.clear()
    this.#position = undefined
    this.#asOfMs = -Infinity
    this.#leftSince = 0
  }

  #records (isWanted: (known: Known) => boolean): RunnerRecord[] {
    return [...this.#known.values()].filter(isWanted).map(({ id, position, entry }) => ({ id, position, entry }))
  }

  #take (record: RunnerRecord): boolean {
    if (record.position < (this.#position ?? 0)) return false
    const known = this.#known.get(record.id)
    if (known !== undefined && known.position >= record.position) return false
    const saysNew = known?.entry !== record.entry
    const changedPosition = saysNew ? record.position : known?.changedPosition ?? record.position
    this.#known.set(record.id, { ...record, changedPosition })
    return saysNew
  }

  /** Runners that a whole list lacks have left, unless a record behind its end names them. */
  #dropUnlisted ({ to, records }: RunnerNews): RunnerRecord[] {
    if (to < (this.#position ?? 0)) return []
    const listed = new Set(records.map(({ id }) => id))
    const gone = this.#records(({ id, position, entry }) => entry !== undefined && position < to && !listed.has(id))
    return gone.map(({ id }) => {
      const left = { id, position: to - 1, entry: undefined }
      this.#known.set(id, { ...left, changedPosition: left.position })
      return left
    })
  }

  #advance ({ since, to, ageMs }: RunnerNews, nowMs: number): void {
    const position = this.#position
    if (since !== undefined && (position === undefined || since > position)) return
    if (position === undefined) this.#leftSince = to
    this.#position = Math.max(position ?? 0, to)
    if (ageMs !== undefined) this.#asOfMs = Math.max(this.#asOfMs, nowMs - ageMs)
  }

  #forgetLeft (): void {
    const left = this.#records(({ entry }) => entry === undefined)
    if (left.length <= MAX_LEFT) return
    left.sort((one, other) => other.position - one.position)
    for (const { id, position } of left.slice(MAX_LEFT)) {
      this.#known.delete(id)
      this.#leftSince = Math.max(this.#leftSince, position + 1)
    }
  }
}
