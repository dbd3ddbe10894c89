/** JSON form of a state, as snapshots contain it. */
import { z } from 'zod'
import { poolPropertiesSchema, rowChangeSchema, runnerSchema } from '../schema/rows.js'
import { compareText, rowKey, type RowChange } from '../rows/rows.js'
import { shardOf, type ConfigState, type EditEntry, type RetiringRow, type RowEntry, type Shard } from './state.js'

/** State without its offset and rule version, which are in the snapshot record. All lists are sorted. */
export type StateJson = {
  version: number
  oldestBase: number
  rows: RowEntry[]
  edits: EditEntry[]
  retiring: RetiringRow[]
}

const offset = z.int().min(0)
const text = z.string()

const verdictSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('accepted'), version: offset }),
  z.strictObject({
    kind: z.literal('conflicting'),
    rows: z.array(z.strictObject({ row: text, author: text, offset })),
    oldestBase: offset
  }),
  z.strictObject({ kind: z.literal('invalid'), issues: z.array(z.strictObject({ row: text, field: text, message: text })) })
])

const retiringFields = { row: text, pool: text, retiredAt: offset }

const retiringSchema = z.discriminatedUnion('kind', [
  z.strictObject({ ...retiringFields, kind: z.literal('pool'), value: poolPropertiesSchema }),
  z.strictObject({ ...retiringFields, kind: z.literal('runner'), value: runnerSchema })
])

export const stateJsonSchema = z.strictObject({
  version: offset,
  oldestBase: offset,
  rows: z.array(z.strictObject({ change: rowChangeSchema, author: text, offset })),
  edits: z.array(z.strictObject({ editId: text, offset, verdict: verdictSchema })),
  retiring: z.array(retiringSchema)
})

/**
 * Converts a state to JSON. Equal states produce equal bytes: lists are sorted, and object keys are in the order of the
 * schemas, since every record and snapshot was parsed by them. Removals that no edit can conflict with any more are
 * left out.
 */
export function toStateJson (state: ConfigState): StateJson {
  const entries = [...state.shards.values()].flatMap((shard) => [...shard])
  return {
    version: state.version,
    oldestBase: state.oldestBase,
    rows: entries
      .filter(([, entry]) => !isExpiredRemoval(entry, state.oldestBase))
      .sort(([a], [b]) => compareText(a, b))
      .map(([, entry]) => entry),
    edits: [...state.edits.values()].sort((a, b) => a.offset - b.offset),
    retiring: [...state.retiring.values()].sort((a, b) => compareText(a.row, b.row))
  }
}

/** Restores a state from its JSON form. */
export function fromStateJson (json: StateJson, envelope: { offset: number, ruleVersion: number }): ConfigState {
  const shards = new Map<string, Shard & Map<string, RowEntry>>()
  for (const entry of json.rows) {
    const name = shardOf(entry.change)
    const shard = shards.get(name) ?? new Map<string, RowEntry>()
    shards.set(name, shard.set(rowKey(entry.change), entry))
  }
  return {
    ...envelope,
    version: json.version,
    oldestBase: json.oldestBase,
    shards,
    edits: new Map(json.edits.map((edit) => [edit.editId, edit])),
    retiring: new Map(json.retiring.map((entry) => [entry.row, entry]))
  }
}

/** Whether an entry is a removal that is older than the base of every edit that can still be accepted. */
export function isExpiredRemoval ({ change, offset }: { change: RowChange, offset: number }, oldestBase: number): boolean {
  return change.value === null && offset <= oldestBase
}
