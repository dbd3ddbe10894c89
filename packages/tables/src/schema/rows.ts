/** Schemas of the rows of both tables, used for TOML files and for records of the log. */
import { z } from 'zod'
import { isHttpUrl } from '@figloom/settings'
import type { RowChange } from '../rows/rows.js'
import { Priority, type Adapter, type ModelRoute, type Pool, type PoolModel, type Runner, type ServiceRoute } from '../types.js'

/** Name without colons, which separate the names in a row key. */
const rowName = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/, 'must be a name of letters, digits, . _ - (100 at most)')

/** Name of a model, which may contain slashes. */
const modelName = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._/-]{0,149}$/, 'must be a name of letters, digits, . _ / - (150 at most)')

const targetMs = z.int().min(1, 'must be at least 1').max(86_400_000, 'must be at most 86400000 (a day)')
const sizeMiB = z.int().min(0, 'must be at least 0').max(2 ** 40, 'is too large')

export const adapterSchema: z.ZodType<Adapter> = z.strictObject({ name: modelName, sizeMiB })

export const modelRouteSchema = z.strictObject({
  kind: z.literal('model'),
  name: modelName,
  model: modelName,
  version: rowName,
  adapter: modelName.optional(),
  pool: rowName,
  firstTokenTargetMs: targetMs,
  betweenTokensTargetMs: targetMs,
  priority: z.enum(Object.values(Priority)).default(Priority.Interactive)
}) satisfies z.ZodType<ModelRoute>

export const serviceRouteSchema = z.strictObject({
  kind: z.literal('service'),
  name: modelName,
  service: rowName,
  pool: rowName,
  answerTargetMs: targetMs,
  idempotent: z.boolean().default(false)
}) satisfies z.ZodType<ServiceRoute>

/** A route as stored in records of the log. */
export const routeSchema = z.discriminatedUnion('kind', [modelRouteSchema, serviceRouteSchema])

export const runnerSchema = z.strictObject({
  name: rowName,
  availabilityZone: rowName,
  url: z.string().refine(isHttpUrl, 'must be an http:// or https:// URL'),
  accelerators: z.int().min(0, 'must be at least 0').max(10_000, 'is too large').default(0),
  memoryMiB: sizeMiB.default(0),
  checksFencing: z.boolean().default(false)
}) satisfies z.ZodType<Runner>

export const poolModelSchema = z.strictObject({
  name: modelName,
  version: rowName,
  weightsMiB: sizeMiB,
  kvReserveMiB: sizeMiB,
  adapters: z.array(adapterSchema).default([])
}) satisfies z.ZodType<PoolModel>

export const poolPropertiesSchema = z.strictObject({
  name: rowName,
  region: rowName,
  moveWeight: z.number().min(0, 'must be at least 0').max(1, 'must be at most 1').default(0.5)
})

const text = z.string()

/** A change of a row as stored in records of the log; a null `value` removes the row. */
export const rowChangeSchema = z.discriminatedUnion('row', [
  z.strictObject({ row: z.literal('route'), name: text, value: routeSchema.nullable() }),
  z.strictObject({ row: z.literal('pool'), pool: text, value: poolPropertiesSchema.nullable() }),
  z.strictObject({ row: z.literal('runner'), pool: text, name: text, value: runnerSchema.nullable() }),
  z.strictObject({ row: z.literal('model'), pool: text, name: text, version: text, value: poolModelSchema.nullable() })
]).refine(keyMatchesValue)

const tomlRoute = z.preprocess(inferRouteKind, routeSchema)

const tomlPool = z.strictObject({
  ...poolPropertiesSchema.shape,
  runner: z.array(runnerSchema).default([]),
  model: z.array(poolModelSchema).default([])
})

/** A file with routes, pools or both. */
export const tablesFileSchema = z.strictObject({
  route: z.array(tomlRoute).default([]),
  pool: z.array(tomlPool).default([])
})
export type TablesFile = z.output<typeof tablesFileSchema>

/** Converts a `[[pool]]` entry of a file to a pool. */
export function toPool ({ runner, model, ...properties }: TablesFile['pool'][number]): Pool {
  return { ...properties, runners: runner, models: model }
}

/** Whether the names in a change's key equal those in its value. */
function keyMatchesValue (change: RowChange): boolean {
  if (change.value === null) return true
  if (change.row === 'pool') return change.value.name === change.pool
  if (change.row === 'model' && change.value.version !== change.version) return false
  return change.value.name === change.name
}

/** Adds `kind`, which files leave out: a route with the key `service` is a route to a plain service. */
function inferRouteKind (raw: unknown): unknown {
  if (typeof raw !== 'object' || raw === null || 'kind' in raw) return raw
  return { kind: 'service' in raw ? 'service' : 'model', ...raw }
}
