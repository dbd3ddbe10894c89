import { listedHostSchema } from '@figloom/clients'
import { z } from 'zod'

const sizeSchema = z.number().nonnegative()
const msSchema = z.number().nonnegative()
const countSchema = z.number().int().positive()

const common = {
  name: z.string().min(1),
  host: z.enum(['127.0.0.1', '::1', 'localhost']).default('127.0.0.1'),
  /** 0 lets the system choose. */
  port: z.int().min(0).max(65535).default(0)
}

const logSchema = z.strictObject({
  kind: z.literal('log'),
  ...common,
  retentionMs: msSchema.optional(),
  appendsPerSecond: sizeSchema.optional()
})

const hostsSchema = z.strictObject({
  kind: z.literal('hosts'),
  ...common,
  lagMs: msSchema.optional(),
  entries: z.array(listedHostSchema).optional()
})

const copySchema = z.strictObject({
  model: z.string().min(1),
  version: z.string().min(1),
  weightsMiB: sizeSchema,
  kvReserveMiB: sizeSchema,
  adapters: z.array(z.strictObject({ name: z.string().min(1), sizeMiB: sizeSchema })).default([])
})

const engineSchema = z.strictObject({
  kind: z.literal('engine'),
  ...common,
  memoryMiB: sizeSchema.optional(),
  checksFencing: z.boolean().optional(),
  instance: z.string().min(1).optional(),
  role: z.enum(['prefill', 'decode', 'both']).optional(),
  slots: countSchema.optional(),
  firstTokenMs: msSchema.optional(),
  prefillTokenMs: msSchema.optional(),
  tokenMs: msSchema.optional(),
  loadMs: msSchema.optional(),
  unloadMs: msSchema.optional(),
  adapterLoadMs: msSchema.optional(),
  roleChangeMs: msSchema.optional(),
  reportLagMs: msSchema.optional(),
  cachedPrefixes: countSchema.optional(),
  kvAttemptMiB: sizeSchema.optional(),
  copies: z.array(copySchema).optional()
})

const serviceSchema = z.strictObject({
  kind: z.literal('service'),
  ...common,
  delayMs: msSchema.optional()
})

const storeSchema = z.strictObject({
  startsPerSecond: sizeSchema.optional(),
  fullSpeedLoads: countSchema.optional(),
  fullSpeedAdapters: countSchema.optional(),
  delayMs: msSchema.optional()
})

const storeListenerSchema = z.strictObject({ kind: z.literal('store'), ...common })

/** Settings of one stand-in. A `store` makes the process's weight store reachable, for its faults and figures. */
export const standinSchema = z.discriminatedUnion('kind', [logSchema, hostsSchema, engineSchema, serviceSchema, storeListenerSchema])
export type StandinConfig = z.infer<typeof standinSchema>

/** Settings of a process: its stand-ins, and the weight store that its engines share. */
export const standinsSchema = z.strictObject({
  store: storeSchema.optional(),
  standin: z.array(standinSchema).min(1)
})
export type StandinsConfig = z.infer<typeof standinsSchema>
export type StandinsInput = z.input<typeof standinsSchema>
