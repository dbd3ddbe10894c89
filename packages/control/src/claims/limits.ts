/** Bounds and times of claim streams. */

/** Bounds and times of claim streams; times in milliseconds. */
export type ClaimLimits = {
  /** How long a key is kept at least; at most twice as long and a little. */
  keepMs: number
  /** Retention that the log surely has; 0 if unknown. Shortens the wait after a stream was lost. */
  minRetentionMs: number
  /** Time from one snapshot to the next; at most a third of the log's retention. */
  snapshotEveryMs: number
  windowMs: number
  lazyWindowMs: number
  appendTimeoutMs: number
  retryMs: number
  pollMs: number
  /** Wait for the read-back after an append without an answer. */
  graceMs: number
  /** Keys of one stream above which new claims are refused. */
  maxKeys: number
}

export const DEFAULT_CLAIM_LIMITS: ClaimLimits = {
  keepMs: 1_800_000,
  minRetentionMs: 0,
  snapshotEveryMs: 600_000,
  windowMs: 25,
  lazyWindowMs: 250,
  appendTimeoutMs: 1000,
  retryMs: 200,
  pollMs: 10_000,
  graceMs: 250,
  maxKeys: 350_000
}
