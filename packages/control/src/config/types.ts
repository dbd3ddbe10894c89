/** Types of the configuration follower: the acceptance rule it runs and what it publishes. */
import type { Result } from 'neverthrow'
import type { Failure } from '@figloom/runtime'
import type { LogRecord } from '@figloom/clients'

/** Verdict of the acceptance rule on one record. */
export const ConfigVerdict = {
  Accepted: 'accepted',
  Conflicting: 'conflicting',
  Invalid: 'invalid',
  /** Repeat of an edit that was judged before. */
  Repeated: 'repeated',
  /** A snapshot, or another record without a verdict. */
  Snapshot: 'snapshot',
  /** Read in order, but no edit: rows cleared, or a record that nobody can read. */
  Noted: 'noted',
  /** The record needs a rule version that this release does not have. */
  UnknownRule: 'unknown-rule'
} as const
export type ConfigVerdict = (typeof ConfigVerdict)[keyof typeof ConfigVerdict]

/** Result of applying one record; `detail` is the rule's own report. */
export type ConfigStep<State> = { state: State, verdict: ConfigVerdict, detail?: unknown }

/** Verdict on an edit; `detail` is the rule's own report to the author. */
export type JudgedEdit = { editId: string, offset: number, verdict: ConfigVerdict, detail: unknown }

/** The pure acceptance rule. The same state and record give the same step on every host. */
export abstract class ConfigRule<State> {
  abstract empty (): State
  abstract apply (state: State, record: LogRecord): ConfigStep<State>
  /** Offset of the last record that the state contains. */
  abstract offsetOf (state: State): number
  /** Version in force: the offset of the last accepted edit. */
  abstract versionOf (state: State): number
  /** Verdict on an edit that the state remembers, whoever read it first. */
  judgedEdit (_state: State, _editId: string): JudgedEdit | undefined {
    return undefined
  }

  /** Canonical JSON form of a state. */
  abstract toSnapshot (state: State): unknown
  abstract fromSnapshot (snapshot: unknown): Result<State, Failure>
  /** Body of a record that carries a snapshot; every host gives the same for the same state. */
  abstract snapshotRecord (state: State): unknown
  /** State inside a snapshot record; undefined for other records and for unreadable snapshots. */
  abstract stateInRecord (record: LogRecord): State | undefined
}

/** Snapshots that peers hold. */
export abstract class SnapshotSource {
  /** Asks several peers for a snapshot newer than an offset; peers that do not answer are left out. */
  abstract fetch (newerThanOffset: number): Promise<unknown[]>
}

/** State of the follower. */
export const FollowerStatus = {
  /** Neither the log nor a peer gave a state yet. */
  Starting: 'starting',
  Following: 'following',
  /** Serves its last state; the log does not answer. */
  LogUnreachable: 'log-unreachable',
  /** Serves its last state; a record needs a newer release. */
  UnknownRule: 'unknown-rule',
  /** Serves its last state; the log ends before it. */
  LogBehind: 'log-behind'
} as const
export type FollowerStatus = (typeof FollowerStatus)[keyof typeof FollowerStatus]

/** What a follower knows at present. */
export type FollowerReport = {
  status: FollowerStatus
  /** Whether there is a state to serve from. */
  ready: boolean
  /** Offset of the last record applied; 0 without a state. */
  offset: number
  /** Version in force; 0 without a state. */
  version: number
  /** Time since the log last answered, in milliseconds; undefined if it never did. */
  logAgeMs?: number
}

/** Called with each new version in force. */
export type ConfigListener<State> = (state: State, version: number) => void
