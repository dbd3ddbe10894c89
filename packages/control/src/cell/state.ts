/** The state of a cell as a pure fold of its stream; every host reaches the same one from the same records. */
import type { LogRecord } from '@figloom/clients'
import {
  GoneEvidence, parseCellRecord, SettledOutcome, Word,
  type CellOrder, type CellRecordBody, type ObservedRunner, type Sender
} from './records.js'

/** The claim in force. */
export type Claim = { offset: number, sender: Sender, leaseMs: number, released: boolean }

/** An intent whose order may still take effect. */
export type Intent = {
  /** Offset of the record: the fencing number of the order. */
  offset: number
  orderId: string
  claim: number
  sender: Sender
  order: CellOrder
  standby: boolean
  /** What the sender said of its copy, and the offset at which it did. */
  word?: { word: Word, offset: number }
  /** Offset at which the sender was recorded as ended. */
  goneOffset?: number
  /** Process of the engine in which a later fence shuts the order out. */
  fencedInstance?: string
  /** Process of the engine seen after the sender had ended or given its word. */
  baselineInstance?: string
  /** The engine's process was replaced after that; no copy can reach the new one. */
  replaced: boolean
}

/** JSON value of a cell at one offset; also the form of a snapshot. */
export type CellState = {
  /** Last offset applied. */
  offset: number
  claim?: Claim
  intents: Intent[]
  runners: ObservedRunner[]
  /** Incarnations recorded as ended, newest last. */
  goneIncarnations: string[]
  /** Ids of the newest records, newest last. */
  recordIds: string[]
  /** Newest records of kinds that this release does not know. */
  unknownRecords: { offset: number, body: unknown }[]
}

const RECORD_IDS_KEPT = 256
const GONE_KEPT = 256
const UNKNOWN_KEPT = 64

/** State before the first record. */
export function createCellState (): CellState {
  return { offset: 0, intents: [], runners: [], goneIncarnations: [], recordIds: [], unknownRecords: [] }
}

/** Applies one record. Offsets at or below the state's and repeated record ids change nothing else. */
export function applyCellRecord (state: CellState, record: LogRecord): CellState {
  if (record.offset <= state.offset) return state
  const moved = { ...state, offset: record.offset }
  if (state.recordIds.includes(record.recordId)) return moved
  const next = { ...moved, recordIds: keepNewest([...state.recordIds, record.recordId], RECORD_IDS_KEPT) }
  const body = parseCellRecord(record.body)
  if (body !== undefined) return applyBody(next, record, body)
  const unknownRecords = keepNewest([...next.unknownRecords, { offset: record.offset, body: record.body }], UNKNOWN_KEPT)
  return { ...next, unknownRecords }
}

/** Whether `sender` holds the claim in force. */
export function holdsClaim (state: CellState, sender: Sender): boolean {
  return state.claim !== undefined && state.claim.sender.incarnation === sender.incarnation
}

/** Whether a body is void because another claim is in force. */
export function isVoid (state: CellState, body: CellRecordBody): boolean {
  if (body.kind === 'claim') return body.succeeds !== (state.claim?.offset ?? 0)
  if (body.kind === 'withdrawn' || body.kind === 'snapshot') return false
  if (body.kind === 'gone' && body.evidence === GoneEvidence.OwnWord) return false
  return body.claim !== state.claim?.offset
}

/** Offset from which on the sender sends no copy of the order; undefined while it may. */
export function endOffsetOf (intent: Intent): number | undefined {
  return intent.word?.offset ?? intent.goneOffset
}

function applyBody (state: CellState, record: LogRecord, body: CellRecordBody): CellState {
  if (isVoid(state, body)) return state
  switch (body.kind) {
    case 'claim':
      return { ...state, claim: { offset: record.offset, sender: body.sender, leaseMs: body.leaseMs, released: false } }
    case 'release':
      return state.claim === undefined ? state : { ...state, claim: { ...state.claim, released: true } }
    case 'intent':
      return addIntent(state, record, body)
    case 'withdrawn':
      return applyWord(state, record.offset, body)
    case 'settled':
      return observe(settle(state, body), body.observed)
    case 'observed':
      return observe(state, body.observed)
    case 'gone':
      return applyGone(state, record.offset, body.sender)
    case 'renew':
    case 'snapshot':
      return state
  }
}

function addIntent (state: CellState, record: LogRecord, body: Extract<CellRecordBody, { kind: 'intent' }>): CellState {
  if (state.claim === undefined) return state
  const intent: Intent = {
    offset: record.offset,
    orderId: record.recordId,
    claim: body.claim,
    sender: state.claim.sender,
    order: body.order,
    standby: body.standby ?? false,
    replaced: false
  }
  return { ...state, intents: [...state.intents, intent] }
}

function applyWord (state: CellState, offset: number, body: Extract<CellRecordBody, { kind: 'withdrawn' }>): CellState {
  const intents = state.intents.flatMap((intent) => {
    if (intent.offset !== body.intent || intent.claim !== body.claim || intent.word !== undefined) return [intent]
    if (body.word === Word.NeverSent) return []
    return [{ ...intent, word: { word: body.word, offset } }]
  })
  return { ...state, intents }
}

function applyGone (state: CellState, offset: number, sender: Sender): CellState {
  const goneIncarnations = keepNewest([...state.goneIncarnations, sender.incarnation], GONE_KEPT)
  const intents = state.intents.map((intent) => {
    const ended = intent.sender.incarnation === sender.incarnation && intent.goneOffset === undefined
    return ended ? { ...intent, goneOffset: offset } : intent
  })
  return { ...state, goneIncarnations, intents }
}

function settle (state: CellState, body: Extract<CellRecordBody, { kind: 'settled' }>): CellState {
  const outcomes = new Map(body.intents.map(({ intent, outcome }) => [intent, outcome]))
  const intents = state.intents.flatMap((intent) => {
    const outcome = outcomes.get(intent.offset)
    if (outcome === undefined) return [intent]
    return outcome === SettledOutcome.Fenced ? [{ ...intent, fencedInstance: body.observed.instance }] : []
  })
  return { ...state, intents }
}

function observe (state: CellState, observed: ObservedRunner): CellState {
  const others = state.runners.filter(({ name }) => name !== observed.name)
  const runners = [...others, observed].sort((a, b) => (a.name < b.name ? -1 : 1))
  const intents = state.intents.flatMap((intent) => intent.order.runner === observed.name ? seeInstance(intent, observed) : [intent])
  return { ...state, runners, intents }
}

/**
 * A fence is lost with the engine's process, and so is a copy on its way to it. Once the sender has ended,
 * every copy went to the process seen after that or to an earlier one.
 */
function seeInstance (intent: Intent, observed: ObservedRunner): Intent[] {
  const endOffset = endOffsetOf(intent)
  const seenAfterEnd = endOffset !== undefined && observed.asOfOffset >= endOffset
  if (intent.fencedInstance === observed.instance) return seenAfterEnd ? [] : [intent]
  const { fencedInstance, ...open } = intent
  if (!seenAfterEnd) return [open]
  if (intent.baselineInstance === undefined) return [{ ...open, baselineInstance: observed.instance }]
  return [{ ...open, replaced: intent.replaced || intent.baselineInstance !== observed.instance }]
}

function keepNewest<T> (items: T[], count: number): T[] {
  return items.length > count ? items.slice(items.length - count) : items
}
