/** Types of the configuration follower: the acceptance rule that it applies, and what it reports. */
import type { Result } from 'neverthrow'
import type { Failure } from '@figloom/runtime'
import type { LogRecord } from '@figloom/clients'

/** Verdict of the acceptance rule on one record. */
export const ConfigVerdict = {
  Accepted: 'accepted',
  Conflicting: 'conflicting',
  Invalid: 'invalid',
  /** Same id as an edit that already has a verdict. */
  Duplicate: 'repeated',
  /** A snapshot, or a record that was not the next one. */
  Snapshot: 'snapshot',
  /** Another record that is no edit: one that clears rows, or one that cannot be parsed. */
  NotAnEdit: 'noted',
  /** The record needs a newer rule version than this release has. */
  UnknownRule: 'unknown-rule'
} as const
export type ConfigVerdict = (typeof ConfigVerdict)[keyof typeof ConfigVerdict]

/** Result of applying one record; the type of `detail` depends on the rule. */
export type ConfigStep<State> = { state: State, verdict: ConfigVerdict, detail?: unknown }

/** Verdict on an edit; `detail` is for its author and its type depends on the rule. */
export type EditVerdict = { editId: string, offset: number, verdict: ConfigVerdict, detail: unknown }

/** Acceptance rule without side effects: the same state and record give the same result on every host. */
export abstract class ConfigRule<State> {
  abstract empty (): State
  abstract apply (state: State, record: LogRecord): ConfigStep<State>
  /** Offset of the last record that the state contains. */
  abstract offsetOf (state: State): number
  /** Version in force: the offset of the last accepted edit. */
  abstract versionOf (state: State): number
  /** Verdict on an edit, if the state contains one. */
  findVerdict (_state: State, _editId: string): EditVerdict | undefined {
    return undefined
  }

  /** Canonical JSON form of a state. */
  abstract toSnapshot (state: State): unknown
  abstract fromSnapshot (snapshot: unknown): Result<State, Failure>
  /** Body of a record with a snapshot; the same state gives the same body on every host. */
  abstract snapshotRecord (state: State): unknown
  /** State in a snapshot record; undefined for other records and for snapshots that this release cannot read. */
  abstract stateInRecord (record: LogRecord): State | undefined
}

/** Source of the snapshots of other hosts. */
export abstract class SnapshotSource {
  /** Requests a snapshot newer than an offset from several peers; leaves out peers that do not answer. */
  abstract fetch (newerThanOffset: number): Promise<unknown[]>
}

/** State of the follower. */
export const FollowerStatus = {
  /** No state was received yet, neither from the log nor from a peer. */
  Starting: 'starting',
  Following: 'following',
  /** Serves its last state; the log does not answer. */
  LogUnreachable: 'log-unreachable',
  /** Serves its last state; a record needs a newer rule version. */
  UnknownRule: 'unknown-rule',
  /** Serves its last state; the log ends at an older offset. */
  LogBehind: 'log-behind'
} as const
export type FollowerStatus = (typeof FollowerStatus)[keyof typeof FollowerStatus]

/** Present state of a follower, for status reports. */
export type FollowerReport = {
  status: FollowerStatus
  /** Whether there is a state to serve. */
  ready: boolean
  /** Offset of the last record applied; 0 without a state. */
  offset: number
  /** Version in force; 0 without a state. */
  version: number
  /** Time since the last answer of the log, in milliseconds; undefined if there was none. */
  logAgeMs?: number
}

/** Called with each new version in force. */
export type ConfigListener<State> = (state: State, version: number) => void
