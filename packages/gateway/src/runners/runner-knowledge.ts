/** What this host knows of runners, from whom, and how old it is; keeps the table of usable runners in step with the list. */
import type { Clock, Logger } from '@figloom/runtime'
import type { InstantSource } from '../lease/instant.js'
import { OutageGrace } from './outage-grace.js'
import { RunnerList } from './runner-list.js'
import type { RunnerTable } from './runner-table.js'
import type { RunnerEntry, RunnerNews, RunnerRecord } from './types.js'

/** A list is young for this part of the time in which a host has to know that a runner drains; the rest is for a read. */
const YOUNG_SHARE = 0.6

export type RunnerKnowledgeParts = {
  clock: Clock
  instants: InstantSource
  log: Logger
  table: RunnerTable
  /** Time within which a host has to know that a runner drains. */
  drainNoticeMs: number
  /** Time after which a host whose path to the platform is back has to act on what it says. */
  contactMs: number
}

/** Who told, for the log. */
type Word = { from: string, position: number, listAgeMs: number | undefined }

export class RunnerKnowledge {
  readonly #list = RunnerList.create()
  readonly #grace: OutageGrace

  private constructor (private readonly parts: RunnerKnowledgeParts) {
    this.#grace = OutageGrace.create({ restMs: this.youngMs, contactMs: parts.contactMs })
  }

  static create (parts: RunnerKnowledgeParts): RunnerKnowledge {
    return new RunnerKnowledge(parts)
  }

  /** Age up to which a list need not be read. */
  get youngMs (): number {
    return this.parts.drainNoticeMs * YOUNG_SHARE
  }

  /** All records of the platform before this position are known here. */
  get position (): number | undefined {
    return this.#list.position
  }

  /** Age of what this host knows, whoever read it. */
  ageMs (): number {
    return this.parts.instants.nowMs() - this.#list.asOfMs
  }

  /** What a host lacks that knows the records before `position`; undefined while nothing is known here. */
  newsSince (position: number | undefined): RunnerNews | undefined {
    return this.#list.changesSince(position, this.parts.instants.nowMs())
  }

  /** Takes over what the platform's records say; `from` names who told. */
  hear (news: RunnerNews, from: string): void {
    const nowMs = this.parts.instants.nowMs()
    const beforeMs = this.#list.asOfMs
    const changed = this.#list.apply(news, nowMs)
    this.#grace.onKnown(beforeMs, this.#list.asOfMs)
    const listAgeMs = Number.isFinite(news.ageMs) ? Math.round(news.ageMs ?? 0) : undefined
    for (const record of changed) this.#follow(record, { from, position: record.position, listAgeMs })
  }

  /** A read of the list that began this long ago failed. */
  onUnread (startedAgoMs: number): void {
    this.#grace.onFailed(this.parts.instants.nowMs() - startedAgoMs)
  }

  /** The platform's history starts anew: positions of before mean nothing. */
  forget (): void {
    this.#list.clear()
  }

  /** Drops runners whose time to come back is over. */
  sweep (): void {
    for (const id of this.parts.table.sweep(this.parts.clock.monotonicMs())) this.parts.log.info('runner is gone', { runner: id })
  }

  #follow ({ id, entry }: RunnerRecord, word: Word): void {
    if (entry !== undefined) return this.#onEntry(entry, word)
    const graceMs = this.#grace.leftMs(this.parts.instants.nowMs())
    this.parts.log.info('runner left the list', { runner: id, graceMs: Math.round(graceMs), ...word })
    this.parts.table.remove(id, this.parts.clock.monotonicMs(), graceMs)
  }

  #onEntry (entry: RunnerEntry, word: Word): void {
    const { table, log } = this.parts
    const known = table.get(entry.id)?.entry
    table.upsert(entry)
    if (known?.draining === entry.draining && known.startedUnixMs === entry.startedUnixMs) return
    const { id, service, address, draining, remainingMs, startedUnixMs } = entry
    const fields = { runner: id, service, address, remainingMs, startedUnixMs, ...word }
    const returned = known?.draining === true && known.startedUnixMs === startedUnixMs
    if (returned) return log.warn('runner that drained is listed again', fields)
    log.info(draining ? 'runner drains' : 'runner listed', fields)
  }
}
