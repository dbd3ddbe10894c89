/**
 * The fold over a claim stream. It depends on the records alone, in their order, so that every host reaches the same
 * holder of each key: no clock, no host's own view.
 */
import type { LogRecord } from '@figloom/clients'
import { hashAttempt } from './keys.js'
import { KeyState, KeyTable } from './key-table.js'
import { parseClaimBody } from './records.js'
import type { ClaimEntry, ClaimLogEntry, KeptAnswer, OutcomeEntry, ResetEntry, VoidEntry } from './types.js'

/** Process that holds an open key. */
export type Holder = { host: string, incarnation: string }

/** A claim as the fold judged it. */
export type JudgedClaim = { key: string, attemptId: string, won: boolean }

/** What one record did. */
export type ClaimStep = {
  applied: boolean
  claims: JudgedClaim[]
  rotated: boolean
  /** Set by a valid reset. */
  resetSince?: number
}

/** Bytes of kept answers in memory for one stream. */
const ANSWERS_LIMIT_BYTES = 4 * 1024 * 1024

/** State after the records up to `offset`. Owned by one task, which alone calls `applyClaimRecord` on it. */
export class ClaimState {
  offset = 0
  generation = 0
  lastClaimOffset = 0
  current = KeyTable.create()
  previous = KeyTable.create()
  /** Holders of open keys; a convenience for messages that snapshots leave out. */
  readonly holders = new Map<string, Holder>()
  /** Answers for repeats, oldest first; a convenience that snapshots leave out. */
  readonly answers = new Map<string, KeptAnswer>()
  answersBytes = 0

  private constructor () {}

  static create (): ClaimState {
    return new ClaimState()
  }

  /** Number of keys that are held or were voided. */
  get size (): number {
    return this.current.size + this.previous.size
  }

  /** Table and slot of a key. */
  locate (key: Buffer): { table: KeyTable, slot: number } | undefined {
    for (const table of [this.current, this.previous]) {
      const slot = table.find(key)
      if (slot !== undefined) return { table, slot }
    }
    return undefined
  }

  /** State of a key; undefined when it may be claimed. */
  stateOf (key: string): KeyState | undefined {
    const place = this.locate(Buffer.from(key, 'base64url'))
    const state = place?.table.stateAt(place.slot)
    return state === KeyState.Voided ? undefined : state
  }

  /** Whether a key's holder carries this fingerprint. */
  hasFingerprint (key: string, fingerprint: string): boolean {
    const place = this.locate(Buffer.from(key, 'base64url'))
    return place !== undefined && place.table.hasFingerprintAt(place.slot, Buffer.from(fingerprint, 'base64url'))
  }

  /** Whether this attempt holds the key and has not ended. */
  isHeldBy (key: string, attemptId: string): boolean {
    const place = this.locate(Buffer.from(key, 'base64url'))
    if (place === undefined || place.table.stateAt(place.slot) !== KeyState.Open) return false
    return place.table.hasAttemptAt(place.slot, hashAttempt(attemptId))
  }
}

/** Applies the next record. `applied` is false for a record that is not the next or needs a newer rule. */
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
  const place = state.locate(key)
  const free = place === undefined || place.table.stateAt(place.slot) === KeyState.Voided
  if (free) {
    state.current.put(key, Buffer.from(entry.fingerprint, 'base64url'), hashAttempt(entry.attemptId), KeyState.Open)
    state.holders.set(entry.key, { host: entry.host, incarnation: entry.incarnation })
  }
  state.lastClaimOffset = state.offset
  step.claims.push({ key: entry.key, attemptId: entry.attemptId, won: state.isHeldBy(entry.key, entry.attemptId) })
}

function applyVoid (state: ClaimState, entry: VoidEntry): void {
  if (!state.isHeldBy(entry.key, entry.attemptId)) return
  const place = state.locate(Buffer.from(entry.key, 'base64url'))
  place?.table.setStateAt(place.slot, KeyState.Voided)
  state.holders.delete(entry.key)
}

function applyOutcome (state: ClaimState, entry: OutcomeEntry): void {
  if (!state.isHeldBy(entry.key, entry.attemptId)) return
  const place = state.locate(Buffer.from(entry.key, 'base64url'))
  place?.table.setStateAt(place.slot, KeyState.Settled)
  state.holders.delete(entry.key)
  if (entry.answer !== undefined) keepAnswer(state, entry.key, entry.answer)
}

function applyRotate (state: ClaimState, generation: number, step: ClaimStep): void {
  if (generation !== state.generation + 1) return
  state.previous = state.current
  state.current = KeyTable.create()
  state.generation = generation
  step.rotated = true
  dropForgotten(state)
}

function applyReset (state: ClaimState, entry: ResetEntry, step: ClaimStep): void {
  if (state.lastClaimOffset >= entry.since) return
  state.previous = KeyTable.create()
  state.current = KeyTable.create()
  state.generation = 0
  step.rotated = true
  step.resetSince = entry.since
  dropForgotten(state)
}

function dropForgotten (state: ClaimState): void {
  for (const key of state.holders.keys()) if (state.stateOf(key) === undefined) state.holders.delete(key)
  for (const key of state.answers.keys()) if (state.stateOf(key) === undefined) dropAnswer(state, key)
}

function keepAnswer (state: ClaimState, key: string, answer: KeptAnswer): void {
  state.answers.set(key, answer)
  state.answersBytes += answerBytes(answer)
  for (const oldest of state.answers.keys()) {
    if (state.answersBytes <= ANSWERS_LIMIT_BYTES) return
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
