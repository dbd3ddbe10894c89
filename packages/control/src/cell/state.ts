/** The state of a cell as a pure fold of its stream; the same records give the same state on every host. */
import type { LogRecord } from '@figloom/clients'
import {
  GoneEvidence, parseCellRecord, SettledOutcome, DeliveryStatus,
  type CellOrder, type CellRecordBody, type ObservedRunner, type Sender
} from './records.js'

/** The claim in force: the record with which a process took the cell's lease. */
export type Claim = { offset: number, sender: Sender, leaseMs: number, released: boolean }

/** An order that its sender wrote to the stream before sending it, and that may still take effect. */
export type Intent = {
  /** Offset of the record, which is also the order's fencing token. */
  offset: number
  orderId: string
  claim: number
  sender: Sender
  order: CellOrder
  standby: boolean
  /** Delivery status that the sender reported, stored as `word`, and the offset of that record. */
  word?: { word: DeliveryStatus, offset: number }
  /** Offset at which the sender was recorded as ended. */
  goneOffset?: number
  /** Engine process in which a later fence rejects the order. */
  fencedInstance?: string
  /** Engine process first observed after the sender had ended or reported the delivery status. */
  baselineInstance?: string
  /** Whether that engine process was replaced; the order cannot reach the new one. */
  replaced: boolean
}

/** State of a cell at one offset, as JSON; also the format of a snapshot. */
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

const MAX_RECORD_IDS = 256
const MAX_GONE_INCARNATIONS = 256
const MAX_UNKNOWN_RECORDS = 64

/** State before the first record. */
export function createCellState (): CellState {
  return { offset: 0, intents: [], runners: [], goneIncarnations: [], recordIds: [], unknownRecords: [] }
}

/** Applies one record. An offset at or below the state's changes nothing; a known record id only advances the offset. */
export function applyCellRecord (state: CellState, record: LogRecord): CellState {
  if (record.offset <= state.offset) return state
  const advanced = { ...state, offset: record.offset }
  if (state.recordIds.includes(record.recordId)) return advanced
  const next = { ...advanced, recordIds: keepNewest([...state.recordIds, record.recordId], MAX_RECORD_IDS) }
  const body = parseCellRecord(record.body)
  if (body !== undefined) return applyBody(next, record, body)
  const unknownRecords = keepNewest([...next.unknownRecords, { offset: record.offset, body: record.body }], MAX_UNKNOWN_RECORDS)
  return { ...next, unknownRecords }
}

/** Whether `sender` holds the claim in force. */
export function holdsClaim (state: CellState, sender: Sender): boolean {
  return state.claim !== undefined && state.claim.sender.incarnation === sender.incarnation
}

/** Whether a record body has no effect because another claim is in force. */
export function isVoid (state: CellState, body: CellRecordBody): boolean {
  if (body.kind === 'claim') return body.succeeds !== (state.claim?.offset ?? 0)
  if (body.kind === 'withdrawn' || body.kind === 'snapshot') return false
  if (body.kind === 'gone' && body.evidence === GoneEvidence.SelfReported) return false
  return body.claim !== state.claim?.offset
}

/** Offset from which on the sender no longer sends the order; undefined while it may. */
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
      return applyDeliveryStatus(state, record.offset, body)
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

function applyDeliveryStatus (state: CellState, offset: number, body: Extract<CellRecordBody, { kind: 'withdrawn' }>): CellState {
  const intents = state.intents.flatMap((intent) => {
    if (intent.offset !== body.intent || intent.claim !== body.claim || intent.word !== undefined) return [intent]
    if (body.word === DeliveryStatus.NeverSent) return []
    return [{ ...intent, word: { word: body.word, offset } }]
  })
  return { ...state, intents }
}

function applyGone (state: CellState, offset: number, sender: Sender): CellState {
  const goneIncarnations = keepNewest([...state.goneIncarnations, sender.incarnation], MAX_GONE_INCARNATIONS)
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
  const intents = state.intents.flatMap((intent) => intent.order.runner === observed.name ? applyObservedInstance(intent, observed) : [intent])
  return { ...state, runners, intents }
}

/**
 * Applies an observation of the engine process to an intent. A fence and an order in flight are both lost with the process
 * that they were sent to. Once the sender has ended, the order can only have gone to the process that is observed next or
 * to an earlier one.
 */
function applyObservedInstance (intent: Intent, observed: ObservedRunner): Intent[] {
  const endOffset = endOffsetOf(intent)
  const observedAfterEnd = endOffset !== undefined && observed.asOfOffset >= endOffset
  if (intent.fencedInstance === observed.instance) return observedAfterEnd ? [] : [intent]
  const { fencedInstance, ...open } = intent
  if (!observedAfterEnd) return [open]
  if (intent.baselineInstance === undefined) return [{ ...open, baselineInstance: observed.instance }]
  return [{ ...open, replaced: intent.replaced || intent.baselineInstance !== observed.instance }]
}

function keepNewest<T> (items: T[], count: number): T[] {
  return items.length > count ? items.slice(items.length - count) : items
}
