/** The lease on orders: one host at a time holds it, as the sequence of records in the platform's log decides. */
import type { Position } from '../eras/position.js'

/** What the writer of a record does with the lease. */
export const LeaseRecordKind = {
  /** Acquires the lease. */
  Claim: 'claim',
  /** Extends it. */
  Renewal: 'renewal',
  /** Gives it up; the writer gives no more orders. */
  Release: 'release'
} as const
export type LeaseRecordKind = (typeof LeaseRecordKind)[keyof typeof LeaseRecordKind]

export type LeaseRecord = {
  kind: LeaseRecordKind
  holder: string
  incarnation: string
  /** Token of the lease that the record belongs to; a claim's own token is the log's end offset after the claim. */
  fencingToken: number
  /** The holder's wait after its predecessor is over, so it may have given orders. */
  ordering: boolean
  /** In a release: how long the next holder has to wait before its first order. */
  successorWaitMs?: number
  /** Era of the platform's history in which the record was written; absent in records of earlier releases. */
  era?: number
}

/** End of the log of lease records, and its last record if that is still retained. */
export type LeaseTail = { end: Position, last?: LeaseRecord }

export const AppendOutcome = { Appended: 'appended', Conflict: 'conflict', Unknown: 'unknown' } as const
export type AppendOutcome = (typeof AppendOutcome)[keyof typeof AppendOutcome]

/** The log of lease records. All hosts see its records in the same order. */
export abstract class LeaseLog {
  /** Reads the end of the log. Rejects if the log is unreachable. */
  abstract readTail (): Promise<LeaseTail>
  /** Appends a record if the log ends at `end`. After an unknown outcome, the record may still be appended later. */
  abstract append (end: Position, record: LeaseRecord): Promise<AppendOutcome>
}
