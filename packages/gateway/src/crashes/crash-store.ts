/**
 * Keeps blocks on the platform, where they outlive all hosts, and what is still suspect of the ends that this host observed, for
 * hosts that start or that it doesn't reach. Other hosts may decide the same at the same time, so a block is written after a random
 * delay, by the first of them.
 */
import type { Clock, Logger, Timer } from '@figloom/runtime'
import type { InstantSource } from '../lease/instant.js'
import type { CrashLog, EndRecord, FeatureBlock, StoredBlock, StoredEnd, StoredEnds } from './types.js'

const MAX_WRITE_DELAY_MS = 250
/** Most answers that clear features of an end arrive within this time; what is cleared isn't stored. */
const SETTLE_MS = 250
/** Shortest interval between two writes of the ends that this host observed. */
const ENDS_INTERVAL_MS = 1_000
/** Time in which a host reads the platform's records again after these came back from an older copy. */
const REREAD_MS = 700
const RETRY_MS = 500
const MAX_RETRIES = 20
/** Ends and requests of an end that are stored. */
const MAX_STORED_ENDS = 16
const MAX_STORED_REQUESTS = 32
/** Ends at which a feature was present before it is stored for other hosts, which know of a single end from each other. */
const MIN_STORED_ENDS = 2

/** Content of a record without ends. */
const NO_ENDS = '[]'

export type CrashStoreParts = {
  clock: Clock
  instants: InstantSource
  log: Logger
  crashLog: CrashLog
  host: string
  startedMs: number
  random: () => number
  readsThroughPeers: () => boolean
  hasLivePeers: () => boolean
  onBlock: (block: FeatureBlock) => void
  onEnds: (ends: EndRecord[]) => void
  /** What answers have not cleared of an end, of features that were present at this many ends. */
  suspectsOf: (end: EndRecord, minEnds: number) => EndRecord
}

export class CrashStore {
  /** Revisions of blocks on the platform, by part. */
  readonly #storedRevisions = new Map<string, number>()
  readonly #timers = new Set<Timer>()
  #ownEnds: EndRecord[] = []
  /** This host's record as it was written last. */
  #storedEnds = NO_ENDS
  #endsScheduled = false
  #stopped = false

  private constructor (private readonly parts: CrashStoreParts) {}

  static create (parts: CrashStoreParts): CrashStore {
    return new CrashStore(parts)
  }

  start (): void {
    this.parts.crashLog.start({
      onBlock: (block) => this.#onBlock(block),
      onEnds: (stored) => this.#onEnds(stored),
      maySkipReads: this.parts.readsThroughPeers,
      mayWaitLong: this.parts.hasLivePeers
    })
  }

  stop (): void {
    this.#stopped = true
    for (const timer of this.#timers) timer.cancel()
    this.parts.crashLog.stop()
  }

  /** Stores a block unless another host does so first. Hosts whose peers read the records for them leave it to these. */
  writeSoon (block: FeatureBlock): void {
    if (this.parts.readsThroughPeers()) return
    this.#later(this.parts.random() * MAX_WRITE_DELAY_MS, () => this.#writeBlock(block, 0))
  }

  /** An end that this host observed. */
  onOwnEnd (end: EndRecord): void {
    this.#ownEnds = [...this.#ownEnds, end].slice(-MAX_STORED_ENDS)
    this.updateEndsSoon()
  }

  /** Stores what is suspect of this host's ends, if that has changed: another end or an answer is known. */
  updateEndsSoon (): void {
    if (this.#endsScheduled || this.#ownEnds.length === 0) return
    this.#endsScheduled = true
    this.#later(SETTLE_MS, () => this.#updateEnds())
  }

  /** The platform came back from an older copy: what it no longer has is written again, after this host has read what it has. */
  onNewEra (blocks: readonly FeatureBlock[]): void {
    this.#storedRevisions.clear()
    this.#later(REREAD_MS, () => {
      for (const block of blocks) this.writeSoon(block)
      this.#storedEnds = NO_ENDS
      this.updateEndsSoon()
    })
  }

  #updateEnds (): void {
    const minEnds = this.parts.hasLivePeers() ? MIN_STORED_ENDS : 1
    const suspects = this.#ownEnds.map((end) => this.parts.suspectsOf(end, minEnds)).filter(({ requests, running }) => requests.length + running.length > 0)
    const ends = suspects.map(({ process, requests, running, endedMs }) => ({ process, requests: requests.slice(0, MAX_STORED_REQUESTS), running: running.slice(0, MAX_STORED_REQUESTS), endedMs }))
    const content = JSON.stringify(ends)
    if (content === this.#storedEnds) {
      this.#endsScheduled = false
      return
    }
    this.#storedEnds = content
    this.#writeEnds(ends.map(({ endedMs, ...end }) => ({ ...end, endedAt: this.#toDate(endedMs) })))
    this.#later(ENDS_INTERVAL_MS, () => this.#updateEnds())
  }

  #writeEnds (ends: StoredEnd[]): void {
    this.parts.crashLog.writeEnds({ host: this.parts.host, ends }).catch((error: Error) => {
      this.parts.log.warn('ends of runners were not stored', { ends: ends.length, reason: error.message })
    })
  }

  #writeBlock (block: FeatureBlock, retries: number): void {
    const { featureId, revision, blocked, trials, reason, sinceMs } = block
    if (this.#stopped || (this.#storedRevisions.get(featureId) ?? 0) >= revision) return
    this.parts.crashLog.writeBlock({ featureId, revision, blocked, trials, reason, sinceAt: this.#toDate(sinceMs) }).then(() => {
      this.#noteStored(featureId, revision)
    }, (error: Error) => {
      this.parts.log.warn('block of a prompt part was not stored', { part: featureId, revision, retries, reason: error.message })
      if (retries < MAX_RETRIES) this.#later(RETRY_MS * (1 + this.parts.random()), () => this.#writeBlock(block, retries + 1))
    })
  }

  #onBlock ({ sinceAt, ...block }: StoredBlock): void {
    this.#noteStored(block.featureId, block.revision)
    this.parts.onBlock({ ...block, sinceMs: this.#toInstantMs(sinceAt) })
  }

  /** Ends before the start of this process are inherited, its own ones too: they go on being stored as long as they are suspect. */
  #onEnds ({ host, ends }: StoredEnds): void {
    const records = ends.map(({ process, requests, running, endedAt }) => {
      const endedMs = this.#toInstantMs(endedAt)
      return { process, requests, running, endedMs, inherited: endedMs < this.parts.startedMs }
    })
    const isOwn = host === this.parts.host
    const inherited = records.filter((end) => end.inherited)
    if (isOwn && this.#ownEnds.length === 0) this.#ownEnds = inherited
    this.parts.onEnds(isOwn ? inherited : records)
  }

  #noteStored (featureId: string, revision: number): void {
    this.#storedRevisions.set(featureId, Math.max(revision, this.#storedRevisions.get(featureId) ?? 0))
  }

  #later (delayMs: number, step: () => void): void {
    const timer = this.parts.clock.setTimer(delayMs, () => {
      this.#timers.delete(timer)
      if (!this.#stopped) step()
    })
    this.#timers.add(timer)
  }

  #toDate (instantMs: number): Date {
    return new Date(this.parts.clock.now().getTime() - (this.parts.instants.nowMs() - instantMs))
  }

  /** Wall clocks of hosts differ; a time in the future counts as now. */
  #toInstantMs (at: Date): number {
    const agoMs = Math.max(0, this.parts.clock.now().getTime() - at.getTime())
    return this.parts.instants.nowMs() - agoMs
  }
}
