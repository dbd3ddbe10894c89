/** Parses the bodies of claim records. Every host skips a body that does not parse. */
import { z } from 'zod'
import { CLAIM_RULE, type ClaimRecordBody } from './types.js'

const hash16 = z.string().regex(/^[\w-]{22}$/)
const hash8 = z.string().regex(/^[\w-]{11}$/)
const id = z.string().min(1).max(200)
const offset = z.int().min(0)

const answer = z.object({
  status: z.int(),
  headers: z.array(z.tuple([z.string(), z.string()])),
  bodyBase64: z.string()
})

const entry = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('claim'), key: hash16, fingerprint: hash8, attemptId: id, host: z.string(), incarnation: z.string() }),
  z.object({ kind: z.literal('void'), key: hash16, attemptId: id }),
  z.object({ kind: z.literal('outcome'), key: hash16, attemptId: id, answer: answer.optional() }),
  z.object({ kind: z.literal('rotate'), generation: z.int().min(1) }),
  z.object({ kind: z.literal('reset'), since: z.int().min(1) })
])

const snapshot = z.object({
  id,
  asOf: offset,
  part: offset,
  parts: z.int().min(1),
  generation: offset,
  generationAgeMs: z.number().min(0),
  lastClaimOffset: offset,
  current: z.string(),
  previous: z.string()
})

const body = z.union([
  z.object({ rule: z.literal(CLAIM_RULE), entries: z.array(entry) }),
  z.object({ rule: z.literal(CLAIM_RULE), snapshot })
])

const versioned = z.object({ rule: z.int().min(1) })

/** Result of parsing the body of a record. */
export type ParsedClaimBody =
  | { kind: 'body', body: ClaimRecordBody }
  /** Written by a release with a newer rule version; this release cannot interpret it or any later record. */
  | { kind: 'unknown-rule' }
  | { kind: 'malformed' }

/** Parses the body of a claim record. */
export function parseClaimBody (value: unknown): ParsedClaimBody {
  const version = versioned.safeParse(value)
  if (version.success && version.data.rule > CLAIM_RULE) return { kind: 'unknown-rule' }
  const parsed = body.safeParse(value)
  return parsed.success ? { kind: 'body', body: parsed.data } : { kind: 'malformed' }
}
