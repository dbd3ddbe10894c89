/**
 * State machine of a claim stream. It depends only on the records and their order, never on a clock or on what one host
 * observes, so that every host computes the same holder for each key.
 */
import type { LogRecord } from '@figloom/clients'
import { hashAttempt } from './keys.js'
import { KeyState, KeyTable } from './key-table.js'
import { parseClaimBody } from './records.js'
import type { ClaimEntry, ClaimLogEntry, KeptAnswer, OutcomeEntry, ResetEntry, VoidEntry } from './types.js'

/** Process whose attempt holds a key and has not ended. */
export type Holder = { host: string, incarnation: string }

/** Whether a claim won its key. */
export type ClaimDecision = { key: string, attemptId: string, won: boolean }

/** Effect of one record. */
export type ClaimStep = {
  applied: boolean
  claims: ClaimDecision[]
  rotated: boolean
  /** Field `since` of the reset, if the record contains a valid one. */
  resetSince?: number
}

/** Limit on the kept answers of one stream in memory. */
const MAX_KEPT_ANSWERS_BYTES = 4 * 1024 * 1024

/** State after the records up to `offset`. Only the task that owns it calls `applyClaimRecord` on it. */
export class ClaimState {
  offset = 0
  generation = 0
  lastClaimOffset = 0
  current = KeyTable.create()
  previous = KeyTable.create()
  /** Holders of open keys. They only affect which refusal a caller gets, and are not part of snapshots. */
  readonly holders = new Map<string, Holder>()
  /** Answers for retries, oldest first, kept as far as memory allows; not part of snapshots. */
  readonly answers = new Map<string, KeptAnswer>()
  answersBytes = 0

  private constructor () {}

  static create (): ClaimState {
    return new ClaimState()
  }

  /** Number of keys in both generations, voided ones included. */
  get size (): number {
    return this.current.size + this.previous.size
  }

  /** Finds the table and slot of a key. */
  locate (key: Buffer): { table: KeyTable, slot: number } | undefined {
    for (const table of [this.current, this.previous]) {
      const slot = table.find(key)
      if (slot !== undefined) return { table, slot }
    }
    return undefined
  }

  /** State of a key; undefined if it may be claimed. */
  stateOf (key: string): KeyState | undefined {
    const found = this.locate(Buffer.from(key, 'base64url'))
    const state = found?.table.stateAt(found.slot)
    return state === KeyState.Voided ? undefined : state
  }

  /** Whether the claim of a key carries this fingerprint. */
  hasFingerprint (key: string, fingerprint: string): boolean {
    const found = this.locate(Buffer.from(key, 'base64url'))
    return found !== undefined && found.table.hasFingerprintAt(found.slot, Buffer.from(fingerprint, 'base64url'))
  }

  /** Whether this attempt holds the key and has not ended. */
  isHeldBy (key: string, attemptId: string): boolean {
    const found = this.locate(Buffer.from(key, 'base64url'))
    if (found === undefined || found.table.stateAt(found.slot) !== KeyState.Open) return false
    return found.table.hasAttemptAt(found.slot, hashAttempt(attemptId))
  }
}

/** Applies the next record. `applied` is false if the record is not the next one or needs a newer rule version. */
export function applyClaimRecord (state: ClaimState, record: LogRecord): ClaimStep {
  const step: ClaimStep = { applied: false, claims: [], rotated: false }
  if (record.offset !== state.offset + 1) return step
  const parsed = parseClaimBody(record.body)
  if (parsed.kind === 'unknown-rule') return step
  state.offset = record.offset
  step.applied = true
  if (parsed.kind === 'malformed' || !('entries' in parsed.body)) return step
  for (const entry of parsed.body.entries) applyEntry(state, entry, step)
  return step
}

function applyEntry (state: ClaimState, entry: ClaimLogEntry, step: ClaimStep): void {
  switch (entry.kind) {
    case 'claim': return applyClaim(state, entry, step)
    case 'void': return applyVoid(state, entry)
    case 'outcome': return applyOutcome(state, entry)
    case 'rotate': return applyRotate(state, entry.generation, step)
    case 'reset': return applyReset(state, entry, step)
  }
}

function applyClaim (state: ClaimState, entry: ClaimEntry, step: ClaimStep): void {
  const key = Buffer.from(entry.key, 'base64url')
  const found = state.locate(key)
  const free = found === undefined || found.table.stateAt(found.slot) === KeyState.Voided
  if (free) {
    state.current.put(key, Buffer.from(entry.fingerprint, 'base64url'), hashAttempt(entry.attemptId), KeyState.Open)
    state.holders.set(entry.key, { host: entry.host, incarnation: entry.incarnation })
  }
  state.lastClaimOffset = state.offset
  step.claims.push({ key: entry.key, attemptId: entry.attemptId, won: state.isHeldBy(entry.key, entry.attemptId) })
}

function applyVoid (state: ClaimState, entry: VoidEntry): void {
  if (!state.isHeldBy(entry.key, entry.attemptId)) return
  const found = state.locate(Buffer.from(entry.key, 'base64url'))
  found?.table.setStateAt(found.slot, KeyState.Voided)
  state.holders.delete(entry.key)
}

function applyOutcome (state: ClaimState, entry: OutcomeEntry): void {
  if (!state.isHeldBy(entry.key, entry.attemptId)) return
  const found = state.locate(Buffer.from(entry.key, 'base64url'))
  found?.table.setStateAt(found.slot, KeyState.Settled)
  state.holders.delete(entry.key)
  if (entry.answer !== undefined) keepAnswer(state, entry.key, entry.answer)
}

function applyRotate (state: ClaimState, generation: number, step: ClaimStep): void {
  if (generation !== state.generation + 1) return
  state.previous = state.current
  state.current = KeyTable.create()
  state.generation = generation
  step.rotated = true
  removeExpired(state)
}

function applyReset (state: ClaimState, entry: ResetEntry, step: ClaimStep): void {
  if (state.lastClaimOffset >= entry.since) return
  state.previous = KeyTable.create()
  state.current = KeyTable.create()
  state.generation = 0
  step.rotated = true
  step.resetSince = entry.since
  removeExpired(state)
}

function removeExpired (state: ClaimState): void {
  for (const key of state.holders.keys()) if (state.stateOf(key) === undefined) state.holders.delete(key)
  for (const key of state.answers.keys()) if (state.stateOf(key) === undefined) dropAnswer(state, key)
}

function keepAnswer (state: ClaimState, key: string, answer: KeptAnswer): void {
  state.answers.set(key, answer)
  state.answersBytes += answerBytes(answer)
  for (const oldest of state.answers.keys()) {
    if (state.answersBytes <= MAX_KEPT_ANSWERS_BYTES) return
    dropAnswer(state, oldest)
  }
}

function dropAnswer (state: ClaimState, key: string): void {
  const answer = state.answers.get(key)
  if (answer === undefined) return
  state.answers.delete(key)
  state.answersBytes -= answerBytes(answer)
}

function answerBytes (answer: KeptAnswer): number {
  return answer.bodyBase64.length + answer.headers.reduce((sum, [name, value]) => sum + name.length + value.length, 0)
}
