import { listedHostSchema } from '@figloom/clients'
import { z } from 'zod'

const nonNegativeSchema = z.number().nonnegative()
const durationMsSchema = z.number().nonnegative()
const positiveCountSchema = z.number().int().positive()

const listenerFields = {
  name: z.string().min(1),
  host: z.enum(['127.0.0.1', '::1', 'localhost']).default('127.0.0.1'),
  /** 0 lets the system choose a free port. */
  port: z.int().min(0).max(65535).default(0)
}

const logSchema = z.strictObject({
  kind: z.literal('log'),
  ...listenerFields,
  retentionMs: durationMsSchema.optional(),
  appendsPerSecond: nonNegativeSchema.optional()
})

const hostsSchema = z.strictObject({
  kind: z.literal('hosts'),
  ...listenerFields,
  lagMs: durationMsSchema.optional(),
  entries: z.array(listedHostSchema).optional()
})

const copySchema = z.strictObject({
  model: z.string().min(1),
  version: z.string().min(1),
  weightsMiB: nonNegativeSchema,
  kvReserveMiB: nonNegativeSchema,
  adapters: z.array(z.strictObject({ name: z.string().min(1), sizeMiB: nonNegativeSchema })).default([])
})

const engineSchema = z.strictObject({
  kind: z.literal('engine'),
  ...listenerFields,
  memoryMiB: nonNegativeSchema.optional(),
  checksFencing: z.boolean().optional(),
  instance: z.string().min(1).optional(),
  role: z.enum(['prefill', 'decode', 'both']).optional(),
  slots: positiveCountSchema.optional(),
  firstTokenMs: durationMsSchema.optional(),
  prefillTokenMs: durationMsSchema.optional(),
  tokenMs: durationMsSchema.optional(),
  loadMs: durationMsSchema.optional(),
  unloadMs: durationMsSchema.optional(),
  adapterLoadMs: durationMsSchema.optional(),
  roleChangeMs: durationMsSchema.optional(),
  reportLagMs: durationMsSchema.optional(),
  cachedPrefixes: positiveCountSchema.optional(),
  kvAttemptMiB: nonNegativeSchema.optional(),
  copies: z.array(copySchema).optional()
})

const serviceSchema = z.strictObject({
  kind: z.literal('service'),
  ...listenerFields,
  delayMs: durationMsSchema.optional()
})

const storeSchema = z.strictObject({
  startsPerSecond: nonNegativeSchema.optional(),
  fullSpeedLoads: positiveCountSchema.optional(),
  fullSpeedAdapters: positiveCountSchema.optional(),
  delayMs: durationMsSchema.optional()
})

const storeListenerSchema = z.strictObject({ kind: z.literal('store'), ...listenerFields })

/** Settings of one stand-in. A `store` gives HTTP access to the faults and statistics of the process's weight store. */
export const standinSchema = z.discriminatedUnion('kind', [logSchema, hostsSchema, engineSchema, serviceSchema, storeListenerSchema])
export type StandinConfig = z.infer<typeof standinSchema>

/** Settings of one process: its stand-ins and the weight store that its engines share. */
export const standinsSchema = z.strictObject({
  store: storeSchema.optional(),
  standin: z.array(standinSchema).min(1)
})
export type StandinsConfig = z.infer<typeof standinsSchema>
export type StandinsInput = z.input<typeof standinsSchema>
