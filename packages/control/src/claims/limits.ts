/** Limits and intervals of claim streams; times are in milliseconds. */
export type ClaimLimits = {
  /** Shortest time that a key is kept; the longest is a little more than twice as long. */
  keepMs: number
  /** Retention that the log guarantees; 0 if unknown. Shortens the wait before a stream with lost records is reset. */
  minRetentionMs: number
  /** Interval between snapshots; at most a third of the log's retention. */
  snapshotEveryMs: number
  /** Longest time that a claim waits for others to share its record. */
  windowMs: number
  /** Longest time that the end of an attempt waits for a record. */
  endBatchWindowMs: number
  appendTimeoutMs: number
  retryMs: number
  pollMs: number
  /** Time for pending claims to be read back after an append failed. */
  graceMs: number
  /** Number of keys in one stream from which on new claims are refused. */
  maxKeys: number
}

export const DEFAULT_CLAIM_LIMITS: ClaimLimits = {
  keepMs: 1_800_000,
  minRetentionMs: 0,
  snapshotEveryMs: 600_000,
  windowMs: 25,
  endBatchWindowMs: 250,
  appendTimeoutMs: 1000,
  retryMs: 200,
  pollMs: 10_000,
  graceMs: 250,
  maxKeys: 350_000
}
