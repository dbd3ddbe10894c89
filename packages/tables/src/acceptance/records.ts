/** Records of the configuration stream. */
import { z } from 'zod'
import { err, ok, type Result } from 'neverthrow'
import { rowChangeSchema } from '../schema/rows.js'
import type { RowChange, RowKey } from '../rows/rows.js'
import { stateJsonSchema, type StateJson } from './state-json.js'

/** Newest version of the acceptance rule that this release supports. */
export const RULE_VERSION = 1

/** Kinds of records. */
export const RecordKind = { Edit: 'edit', RetiredClear: 'retired-clear', Snapshot: 'snapshot' } as const
export type RecordKind = (typeof RecordKind)[keyof typeof RecordKind]

/** Row changes that are accepted or refused as a whole. */
export type EditRecord = {
  kind: 'edit'
  ruleVersion: number
  /** A retried append carries the same id and counts as the same edit. */
  editId: string
  author: string
  /** Offset of the configuration that the author's changes are based on. */
  baseOffset: number
  changes: RowChange[]
}

/** Report of a cell's lease holder that nothing belonging to the listed removed rows is resident or in use. */
export type RetiredClearRecord = {
  kind: 'retired-clear'
  ruleVersion: number
  author: string
  cleared: { row: RowKey, retiredAt: number }[]
}

/** Complete state at an offset; equal states produce equal records, whichever host appends them. */
export type SnapshotRecord = {
  kind: 'snapshot'
  ruleVersion: number
  /** Offset of the last record that the state includes. */
  standsFor: number
  state: StateJson
}

export type ConfigRecord = EditRecord | RetiredClearRecord | SnapshotRecord

/** Why the body of a record cannot be applied. */
export type RecordError =
  /** Not valid under its rule version; every release that supports the version ignores it. */
  | { kind: 'malformed', editId?: string }
  /** This release cannot compute its verdict; a reader must stop before it. */
  | { kind: 'unknown-rule', ruleVersion: number }

const editId = z.string().min(1).max(200)
const author = z.string().min(1).max(200)
const offset = z.int().min(0)
const text = z.string()

const recordSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('edit'),
    ruleVersion: z.literal(1),
    editId,
    author,
    baseOffset: offset,
    changes: z.array(rowChangeSchema).min(1)
  }),
  z.strictObject({
    kind: z.literal('retired-clear'),
    ruleVersion: z.literal(1),
    author,
    cleared: z.array(z.strictObject({ row: text, retiredAt: offset })).min(1)
  }),
  z.strictObject({ kind: z.literal('snapshot'), ruleVersion: z.literal(1), standsFor: offset, state: stateJsonSchema })
])

/** Parses the body of a record. `ruleVersion` is checked first; the rest is parsed only if this release supports that version. */
export function parseConfigRecord (body: unknown): Result<ConfigRecord, RecordError> {
  const envelope = readEnvelope(body)
  if (envelope === undefined) return err({ kind: 'malformed' })
  const { ruleVersion } = envelope
  if (ruleVersion > RULE_VERSION) return err({ kind: 'unknown-rule', ruleVersion })
  const parsed = recordSchema.safeParse(body)
  if (parsed.success) return ok(parsed.data as ConfigRecord)
  return err({ kind: 'malformed', ...readEditId(body) })
}

const envelopeSchema = z.looseObject({ ruleVersion: z.int().min(1), kind: z.unknown() })

/** Reads the fields that every release can read in any record; undefined if the body is not a record. */
export function readEnvelope (body: unknown): { ruleVersion: number, kind?: unknown } | undefined {
  const envelope = envelopeSchema.safeParse(body)
  return envelope.success ? envelope.data : undefined
}

function readEditId (body: unknown): { editId: string } | undefined {
  const edit = z.looseObject({ kind: z.literal('edit'), editId }).safeParse(body)
  return edit.success ? { editId: edit.data.editId } : undefined
}
