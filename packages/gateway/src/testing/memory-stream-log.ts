/** Records of versions and streams in memory, shared by the hosts of a test. */
import { StreamLog, type StreamBatch, type VersionRecord } from '../streams/types.js'

/** The platform of a test. */
export class StreamRecords {
  readonly versions = new Map<string, VersionRecord>()
  readonly batches: StreamBatch[] = []
  /** Whether calls fail. */
  down = false

  static create (): StreamRecords {
    return new StreamRecords()
  }
}

export class MemoryStreamLog extends StreamLog {
  #read = 0

  private constructor (private readonly records: StreamRecords) {
    super()
  }

  static create (records = StreamRecords.create()): MemoryStreamLog {
    return new MemoryStreamLog(records)
  }

  override async readVersions (): Promise<VersionRecord[]> {
    this.#check()
    return [...this.records.versions.values()]
  }

  override async writeVersion (record: VersionRecord): Promise<void> {
    this.#check()
    this.records.versions.set(`${record.service}/${record.softwareVersion}`, record)
  }

  override async readStreams (): Promise<StreamBatch[]> {
    this.#check()
    const batches = this.records.batches.slice(this.#read)
    this.#read = this.records.batches.length
    return batches
  }

  override async writeStreams (batch: StreamBatch): Promise<void> {
    this.#check()
    this.records.batches.push(batch)
  }

  #check (): void {
    if (this.records.down) throw new Error('the platform does not answer')
  }
}
