/** A log of lease records that all lease keepers of a test share, and that can come back from an older copy. */
import { createPosition, eraOf, offsetOf, type Position } from '../eras/position.js'
import { AppendOutcome, LeaseLog, type LeaseRecord, type LeaseTail } from '../lease/types.js'

export class SharedLog {
  records: LeaseRecord[] = []
  /** 0 for a platform that names no era. */
  era = 0
  /** Hosts that can't reach the log. */
  readonly unreachableFrom = new Set<string>()
  /** Hosts whose next append takes effect but gets no answer. */
  readonly losesAnswerOf = new Set<string>()

  static create (): SharedLog {
    return new SharedLog()
  }

  get end (): Position {
    return createPosition(this.era, this.records.length)
  }

  /** Comes back from a copy that holds the first records only. */
  rewind (length: number): void {
    this.records = this.records.slice(0, length)
    this.era += 1
  }
}

export class HostLog extends LeaseLog {
  private constructor (private readonly shared: SharedLog, private readonly host: string) {
    super()
  }

  static create (shared: SharedLog, host: string): HostLog {
    return new HostLog(shared, host)
  }

  override async readTail (): Promise<LeaseTail> {
    if (this.shared.unreachableFrom.has(this.host)) throw new Error('log unreachable')
    return { end: this.shared.end, last: this.shared.records.at(-1) }
  }

  /** The condition compares offsets, so a record may be appended in a later era; that counts as a conflict. */
  override async append (end: Position, record: LeaseRecord): Promise<AppendOutcome> {
    const { shared } = this
    if (shared.unreachableFrom.has(this.host)) return AppendOutcome.Unknown
    if (offsetOf(end) !== shared.records.length) return AppendOutcome.Conflict
    shared.records.push({ ...record, era: eraOf(end) })
    if (shared.losesAnswerOf.delete(this.host)) return AppendOutcome.Unknown
    return eraOf(end) === shared.era ? AppendOutcome.Appended : AppendOutcome.Conflict
  }
}
