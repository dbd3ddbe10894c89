import { z } from 'zod'
import type { CacheEventPage, EngineOrder, EngineReport, OrderOutcome } from './types.js'

const sizeSchema = z.number().nonnegative()
const stateSchema = z.enum(['loading', 'resident', 'unloading'])

/** Schema of an order to an engine. */
export const engineOrderSchema = z.object({
  orderId: z.string().min(1),
  fence: z.number().int().nonnegative(),
  action: z.string(),
  model: z.string(),
  version: z.string(),
  adapter: z.string().optional(),
  role: z.string().optional(),
  weightsMiB: sizeSchema.optional(),
  kvReserveMiB: sizeSchema.optional(),
  sizeMiB: sizeSchema.optional()
}) as z.ZodType<EngineOrder>

/** Schema of an engine's answer to an order. */
export const orderOutcomeSchema = z.object({
  orderId: z.string(),
  outcome: z.enum(['done', 'accepted', 'stale-fence', 'refused']),
  message: z.string().optional(),
  instance: z.string().min(1)
}) as z.ZodType<OrderOutcome>

/** Schema of an engine's report. */
export const engineReportSchema = z.object({
  runner: z.string(),
  instance: z.string().min(1),
  memoryMiB: sizeSchema,
  usedMiB: sizeSchema,
  role: z.string(),
  highestFence: z.number().int().nonnegative(),
  copies: z.array(z.object({
    model: z.string(),
    version: z.string(),
    weightsMiB: sizeSchema,
    kvReserveMiB: sizeSchema,
    state: stateSchema,
    adapters: z.array(z.object({ name: z.string(), sizeMiB: sizeSchema, state: stateSchema }))
  })),
  running: sizeSchema,
  queued: sizeSchema,
  kvUsedMiB: sizeSchema,
  ageMs: sizeSchema,
  recentOrders: z.array(z.object({ orderId: z.string(), outcome: z.string() }))
}) as z.ZodType<EngineReport>

/** Schema of a page of cache events. */
export const cacheEventPageSchema = z.object({
  events: z.array(z.object({
    sequence: z.number().int(),
    kind: z.enum(['stored', 'evicted']),
    model: z.string(),
    prefixHash: z.string()
  })),
  nextSequence: z.number().int()
}) as z.ZodType<CacheEventPage>

/** Schema of the answer to a cancellation. */
export const cancelOutcomeSchema = z.object({ outcome: z.enum(['not-started', 'stopped', 'finished', 'unknown']) })
