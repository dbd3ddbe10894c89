/** Hashes of idempotency keys, fingerprints and attempts, and the mapping of keys to streams. */
import { createHash } from 'node:crypto'
import { CLAIM_STREAM_COUNT } from './types.js'

const KEY_BYTES = 16
const SHORT_HASH_BYTES = 8

/** Hashes a service's idempotency key to 16 bytes, base64url. The key itself is never written to the log. */
export function hashKey (service: string, key: string): string {
  return digest(JSON.stringify([service, key]), KEY_BYTES).toString('base64url')
}

/** First 8 bytes of a request's SHA-256 in base64url. */
export function shortenFingerprint (sha256: Uint8Array): string {
  return Buffer.from(sha256.subarray(0, SHORT_HASH_BYTES)).toString('base64url')
}

/** Hashes an attempt's id to 8 bytes. */
export function hashAttempt (attemptId: string): Buffer {
  return digest(attemptId, SHORT_HASH_BYTES)
}

/** Index of the claim stream of a hashed key, 0 to CLAIM_STREAM_COUNT - 1. */
export function streamIndexOf (key: string): number {
  return (Buffer.from(key, 'base64url')[0] ?? 0) % CLAIM_STREAM_COUNT
}

/** Name of a claim stream in the log. */
export function claimStreamName (index: number): string {
  return `claims-${index}`
}

function digest (text: string, bytes: number): Buffer {
  return createHash('sha256').update(text).digest().subarray(0, bytes)
}
