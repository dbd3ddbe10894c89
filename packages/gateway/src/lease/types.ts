/** The lease on giving orders: one host at a time holds it, by the order of records in the platform's log. */

/** What a record says of its writer. */
export const LeaseRecordKind = {
  /** Takes the lease over. */
  Claim: 'claim',
  /** Keeps it. */
  Renewal: 'renewal',
  /** Gives it up; its writer gives no order any more. */
  Release: 'release'
} as const
export type LeaseRecordKind = (typeof LeaseRecordKind)[keyof typeof LeaseRecordKind]

export type LeaseRecord = {
  kind: LeaseRecordKind
  holder: string
  incarnation: string
  /** Token of the lease that the record belongs to; a claim's own token is the offset behind it. */
  fencingToken: number
  /** The holder's wait behind its predecessor is over: it may have given orders. */
  ordering: boolean
  /** In a release: how long the next holder has to wait before its first order. */
  successorWaitMs?: number
}

/** End of the log of lease records, and its last record if it is still kept. */
export type LeaseTail = { end: number, last?: LeaseRecord }

export const AppendOutcome = { Appended: 'appended', Conflict: 'conflict', Unknown: 'unknown' } as const
export type AppendOutcome = (typeof AppendOutcome)[keyof typeof AppendOutcome]

/** The log of lease records; records of one log are in one order for everybody. */
export abstract class LeaseLog {
  /** Reads the end of the log. Rejects if the log can't be reached. */
  abstract readTail (): Promise<LeaseTail>
  /** Appends a record if the log ends at `end`. An unknown outcome may take effect later. */
  abstract append (end: number, record: LeaseRecord): Promise<AppendOutcome>
}
