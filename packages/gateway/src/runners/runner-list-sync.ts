/** This host's copy of the list of runners, with its age; applies each change of the list to the table of usable runners. */
import type { Clock, Logger } from '@figloom/runtime'
import { eraOf, type Position } from '../eras/position.js'
import type { InstantSource } from '../lease/instant.js'
import { OutageGrace } from './outage-grace.js'
import { RunnerList } from './runner-list.js'
import type { RunnerTable } from './runner-table.js'
import type { RunnerEntry, RunnerListUpdate, RunnerRecord } from './types.js'
import { isUsableEntry } from './usable-entry.js'

/** The list is fresh for this share of the time in which a host has to know that a runner drains; the rest is for a read. */
const FRESH_SHARE = 0.6

export type RunnerListSyncParts = {
  clock: Clock
  instants: InstantSource
  log: Logger
  table: RunnerTable
  /** Time within which a host has to know that a runner drains. */
  drainNoticeMs: number
  /** Time after which a host that can reach the platform again has to act on the platform's list. */
  contactMs: number
}

/** Where a change was received from, for the log. */
type UpdateSource = { from: string, position: Position, listAgeMs: number | undefined }

export class RunnerListSync {
  readonly #list = RunnerList.create()
  readonly #grace: OutageGrace
  /** Entries that were found usable: the same object comes again with each heartbeat of its runner. */
  readonly #usable = new WeakSet<RunnerEntry>()

  private constructor (private readonly parts: RunnerListSyncParts) {
    this.#grace = OutageGrace.create({ freshMs: this.freshMs, contactMs: parts.contactMs })
  }

  static create (parts: RunnerListSyncParts): RunnerListSync {
    return new RunnerListSync(parts)
  }

  /** Age up to which the list need not be read again. */
  get freshMs (): number {
    return this.parts.drainNoticeMs * FRESH_SHARE
  }

  /** All records of the platform before this position are known here. */
  get position (): Position | undefined {
    return this.#list.position
  }

  /** Age of the list here, whichever host read it. */
  ageMs (): number {
    return this.parts.instants.nowMs() - this.#list.asOfMs
  }

  /** The update for a host that knows the records before `position`; undefined while no list is known here. */
  updateSince (position: Position | undefined): RunnerListUpdate | undefined {
    return this.#list.updateSince(position, this.parts.instants.nowMs())
  }

  /** Applies an update of the list; `from` names its source in the log. */
  receive (update: RunnerListUpdate, from: string): void {
    const nowMs = this.parts.instants.nowMs()
    const previousAsOfMs = this.#list.asOfMs
    const previousPosition = this.#list.position
    const changed = this.#list.apply({ ...update, records: update.records.map((record) => this.#toUsable(record, from)) }, nowMs)
    this.#grace.onUpdate(previousAsOfMs, this.#list.asOfMs)
    if (previousPosition !== undefined && eraOf(this.#list.position ?? 0) > eraOf(previousPosition)) this.#grace.onNewEra(nowMs)
    const listAgeMs = Number.isFinite(update.ageMs) ? Math.round(update.ageMs ?? 0) : undefined
    for (const record of changed) this.#applyChange(record, { from, position: record.position, listAgeMs })
  }

  /** A read of the list that started this long ago failed. */
  onReadFailed (startedAgoMs: number): void {
    this.#grace.onReadFailed(this.parts.instants.nowMs() - startedAgoMs)
  }

  /** The platform's history restarted from the beginning: earlier positions are invalid. */
  reset (): void {
    this.#list.clear()
  }

  /** Removes runners whose grace period is over. */
  sweep (): void {
    for (const id of this.parts.table.sweep(this.parts.clock.monotonicMs())) this.parts.log.info('runner is gone', { runner: id })
  }

  /** A record whose entry is unusable lists no runner, and the record is forwarded as such. */
  #toUsable (record: RunnerRecord, from: string): RunnerRecord {
    const { id, position, entry } = record
    if (entry === undefined || this.#usable.has(entry)) return record
    if (isUsableEntry(entry)) {
      this.#usable.add(entry)
      return record
    }
    this.parts.log.warn('entry of a runner is unusable', { runner: id, from, position })
    return { id, position, entry: undefined }
  }

  #applyChange ({ id, entry }: RunnerRecord, source: UpdateSource): void {
    if (entry !== undefined) return this.#onEntry(entry, source)
    const graceMs = this.#grace.remainingMs(this.parts.instants.nowMs())
    this.parts.log.info('runner left the list', { runner: id, graceMs: Math.round(graceMs), ...source })
    this.parts.table.remove(id, this.parts.clock.monotonicMs(), graceMs)
  }

  #onEntry (entry: RunnerEntry, source: UpdateSource): void {
    const { table, log } = this.parts
    const known = table.get(entry.id)?.entry
    table.upsert(entry)
    if (known?.draining === entry.draining && known.startedUnixMs === entry.startedUnixMs) return
    const { id, service, address, draining, remainingMs, startedUnixMs } = entry
    const fields = { runner: id, service, address, remainingMs, startedUnixMs, ...source }
    const returned = known?.draining === true && known.startedUnixMs === startedUnixMs
    if (returned) return log.warn('runner that drained is listed again', fields)
    log.info(draining ? 'runner drains' : 'runner listed', fields)
  }
}
