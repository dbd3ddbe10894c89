/** Records of blocks and ends in memory, shared by the hosts of a test. */
import { CrashLog, type CrashLogEvents, type StoredBlock, type StoredEnds } from '../crashes/types.js'

/** The platform of a test. */
export class CrashRecords {
  readonly blocks = new Map<string, StoredBlock>()
  readonly ends = new Map<string, StoredEnds>()
  readonly readers = new Set<CrashLogEvents>()
  writes = 0
  blockWrites = 0
  /** Whether writes fail. */
  down = false

  static create (): CrashRecords {
    return new CrashRecords()
  }
}

export class MemoryCrashLog extends CrashLog {
  #events: CrashLogEvents | undefined

  private constructor (private readonly records: CrashRecords) {
    super()
  }

  static create (records = CrashRecords.create()): MemoryCrashLog {
    return new MemoryCrashLog(records)
  }

  override start (events: CrashLogEvents): void {
    this.#events = events
    this.records.readers.add(events)
    for (const block of this.records.blocks.values()) events.onBlock(block)
    for (const ends of this.records.ends.values()) events.onEnds(ends)
  }

  override stop (): void {
    if (this.#events !== undefined) this.records.readers.delete(this.#events)
  }

  override async writeBlock (block: StoredBlock): Promise<void> {
    this.#onWrite()
    this.records.blockWrites += 1
    this.records.blocks.set(block.featureId, block)
    for (const { onBlock } of this.records.readers) onBlock(block)
  }

  override async writeEnds (stored: StoredEnds): Promise<void> {
    this.#onWrite()
    this.records.ends.set(stored.host, stored)
    for (const { onEnds } of this.records.readers) onEnds(stored)
  }

  #onWrite (): void {
    if (this.records.down) throw new Error('the platform does not answer')
    this.records.writes += 1
  }
}
