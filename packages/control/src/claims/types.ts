/** Claims of idempotency keys: what a call is identified by, what stands in the log, and how a claim ends. */
import type { Failure } from '@figloom/runtime'

/** Number of claim streams. A key's stream must never change, so this is constant. */
export const CLAIM_STREAM_COUNT = 8

/** Rule version of claim records that this release writes and reads. */
export const CLAIM_RULE = 1

/** Largest body of an answer that is kept for repeats, in bytes. */
export const KEPT_BODY_LIMIT_BYTES = 8192

/** Answer that repeats of a call receive. */
export type KeptAnswer = { status: number, headers: [string, string][], bodyBase64: string }

/** First valid claim of a key holds it. Hashes are base64url: `key` of 16 bytes, `fingerprint` of 8. */
export type ClaimEntry = {
  kind: 'claim'
  key: string
  fingerprint: string
  attemptId: string
  host: string
  incarnation: string
}

/** Word of the claimer that its attempt sent nothing and never will. */
export type VoidEntry = { kind: 'void', key: string, attemptId: string }

/** End of an attempt that was sent. Without an answer, repeats learn that the outcome is unknown. */
export type OutcomeEntry = { kind: 'outcome', key: string, attemptId: string, answer?: KeptAnswer | undefined }

/** Starts a generation; keys of the one before the last are forgotten. */
export type RotateEntry = { kind: 'rotate', generation: number }

/** Starts the stream anew, if no claim stands at `since` or later; see docs/design/claims.md. */
export type ResetEntry = { kind: 'reset', since: number }

export type ClaimLogEntry = ClaimEntry | VoidEntry | OutcomeEntry | RotateEntry | ResetEntry

/** Part of a snapshot of the keys claimed up to offset `asOf`. */
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

/** A call as the entry host hands it to a claim gateway. */
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
  /** An attempt on a live host is under way. */
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
  /** Not claimed as far as the gateway knows; `mayBeAppended` says whether the log may hold the claim nevertheless. */
  | { kind: 'unavailable', mayBeAppended: boolean, byGateway?: boolean }

/** What an entry host tells a gateway about an attempt of its own. */
export type AttemptEnd = VoidEntry | OutcomeEntry

/** Reaches claim gateways on other hosts. */
export abstract class ClaimPeers {
  abstract claim (host: string, request: ClaimRequest): Promise<ClaimAnswer | Failure>
  /** Whether the gateway took the word on. */
  abstract end (host: string, end: AttemptEnd): Promise<boolean>
}

/** Whether a process of a host, named by its incarnation, is known to be live. */
export type IsLive = (host: string, incarnation: string) => boolean
