/** Types of claims of idempotency keys: requests, answers, and the entries in the log. */
import type { Failure } from '@figloom/runtime'

/** Number of claim streams. Constant, because the stream of a key must never change. */
export const CLAIM_STREAM_COUNT = 8

/** Rule version of the claim records that this release writes and reads. */
export const CLAIM_RULE = 1

/** Largest answer body that is kept for retries. */
export const MAX_KEPT_BODY_BYTES = 8192

/** Answer that retries of a call receive. */
export type KeptAnswer = { status: number, headers: [string, string][], bodyBase64: string }

/** Claim of a key; the first valid one holds it. `key` (16 bytes) and `fingerprint` (8 bytes) are hashes in base64url. */
export type ClaimEntry = {
  kind: 'claim'
  key: string
  fingerprint: string
  attemptId: string
  host: string
  incarnation: string
}

/** States that an attempt sent nothing and never will. */
export type VoidEntry = { kind: 'void', key: string, attemptId: string }

/** End of an attempt that was sent. Without an answer, retries fail with an unknown outcome. */
export type OutcomeEntry = { kind: 'outcome', key: string, attemptId: string, answer?: KeptAnswer | undefined }

/** Starts a new generation of keys. The keys of the previous generation are still kept; older ones are forgotten. */
export type RotateEntry = { kind: 'rotate', generation: number }

/** Clears the stream's state, if no claim has the offset `since` or a later one; see docs/design/claims.md. */
export type ResetEntry = { kind: 'reset', since: number }

export type ClaimLogEntry = ClaimEntry | VoidEntry | OutcomeEntry | RotateEntry | ResetEntry

/** Part of a snapshot of the keys at offset `asOf`. */
export type ClaimSnapshotPart = {
  id: string
  asOf: number
  part: number
  parts: number
  generation: number
  /** Age of the current generation when the snapshot was written, in milliseconds. */
  generationAgeMs: number
  lastClaimOffset: number
  /** Packed keys of the current and the previous generation, base64. */
  current: string
  previous: string
}

/** Body of a record of a claim stream. */
export type ClaimRecordBody = { rule: number, entries: ClaimLogEntry[] } | { rule: number, snapshot: ClaimSnapshotPart }

/** Request of an entry host to a claim gateway. */
export type ClaimRequest = {
  key: string
  fingerprint: string
  attemptId: string
  host: string
  incarnation: string
  /** Time left for the claim, in milliseconds. */
  timeoutMs: number
}

/** Why a key cannot be claimed. */
export const TakenReason = {
  /** An attempt on a live host is in progress. */
  InProgress: 'in-progress',
  /** An earlier attempt may have run. */
  OutcomeUnknown: 'outcome-unknown',
  /** The key belongs to another request. */
  Reused: 'reused'
} as const
export type TakenReason = (typeof TakenReason)[keyof typeof TakenReason]

/** Answer of a claim gateway. */
export type ClaimAnswer =
  | { kind: 'won' }
  | { kind: 'replay', answer: KeptAnswer }
  | { kind: 'taken', reason: TakenReason }
  /** Not claimed as far as the gateway knows; `mayBeAppended`: the log may contain the claim nevertheless. */
  | { kind: 'unavailable', mayBeAppended: boolean, fromGateway?: boolean }

/** What an entry host reports to a gateway at the end of its attempt. */
export type AttemptEnd = VoidEntry | OutcomeEntry

/** Calls claim gateways on other hosts. */
export abstract class ClaimPeers {
  abstract claim (host: string, request: ClaimRequest): Promise<ClaimAnswer | Failure>
  /** Returns whether the gateway accepted the report. */
  abstract end (host: string, end: AttemptEnd): Promise<boolean>
}

/** Whether a host's process, identified by its incarnation, is known to be live. */
export type IsLive = (host: string, incarnation: string) => boolean
