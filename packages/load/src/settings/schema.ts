/** Settings of a load. */
import { z } from 'zod'
import { decimal, integer, milliseconds, ratio, text } from '@figloom/settings'
import { isLoopbackUrl } from './loopback.js'

const MAX_DURATION_MS = 600_000
const MAX_REQUESTS = 1_000_000
const MAX_CONCURRENCY = 2_000

/** Address on this host; no other is accepted. */
function loopbackUrl (meaning: string) {
  return z.string().refine(isLoopbackUrl, 'must be a loopback http URL; load is sent to this host only').describe(meaning)
}

const directSchema = z.strictObject({
  url: loopbackUrl('Engine that gets the requests without figloom between.'),
  model: text('Model as the engine names it.'),
  version: text('Version.').optional(),
  adapter: text('Adapter.').optional()
}).describe('Sends this route straight to an engine, to compare with.')

/** One route of the load. */
export const loadRouteSchema = z.strictObject({
  name: text('Name of the route as callers give it, or of the service.'),
  label: text('Name in the report, if another.').optional(),
  kind: z.enum(['chat', 'service']).default('chat').describe('Generation or call of a plain service.'),
  requestsPerSecond: decimal(1, 'Rate of arrivals.', { min: 0.001, max: 10_000 }),
  arrivals: z.enum(['poisson', 'uniform', 'burst']).default('poisson').describe('Random, evenly spaced, or ten at a time.'),
  streamRatio: ratio(1, 'Share of generations that are streamed.'),
  promptCharacters: integer(200, 'Length of a prompt.', { min: 16, max: 100_000 }),
  sharedPrefixes: integer(4, 'Different beginnings that the prompts share.', { min: 1, max: 10_000 }),
  maxTokens: integer(16, 'Tokens of an answer.', { min: 1, max: 10_000 }),
  priority: z.enum(['interactive', 'batch']).default('interactive').describe('Priority header.'),
  deadlineMs: milliseconds(10_000, 'Deadline that each request names.'),
  firstTokenTargetMs: milliseconds(380, 'Target for the first token.'),
  betweenTokensTargetMs: milliseconds(43, 'Target between tokens, as the mean of a request.'),
  answerTargetMs: milliseconds(500, 'Target for the answer of a service.'),
  keyed: z.boolean().default(false).describe('Service calls carry a new Idempotency-Key each.'),
  repeatRatio: ratio(0, 'Share of keyed calls that are sent once more under the same key after their answer.'),
  direct: directSchema.optional()
})
export type LoadRoute = z.infer<typeof loadRouteSchema>

/** A load's file: where to, how much of what, and its bounds. */
export const loadFileSchema = z.strictObject({
  entries: z.array(loopbackUrl('Entry host to ask for lookups.')).default([]).describe('Entry hosts to ask for lookups.'),
  availabilityZone: text('Availability zone of the caller.').optional(),
  seed: integer(1, 'Seed of arrivals and prompts.', { min: 0, max: 2 ** 31 - 1 }),
  durationMs: milliseconds(10_000, 'How long requests arrive.', { max: MAX_DURATION_MS }),
  maxRequests: integer(10_000, 'Requests after which the load ends early.', { max: MAX_REQUESTS }),
  concurrency: integer(64, 'Requests in flight; arrivals beyond it are counted as not sent.', { max: MAX_CONCURRENCY }),
  requestTimeoutMs: milliseconds(30_000, 'Limit for one attempt.', { max: MAX_DURATION_MS }),
  serviceStats: z.array(loopbackUrl('Address of a service stand-in.')).default([]).describe('Service stand-ins whose runs are counted.'),
  engineStats: z.array(loopbackUrl('Address of an engine stand-in.')).default([]).describe('Engine stand-ins whose moves are counted.'),
  route: z.array(loadRouteSchema).min(1, 'needs at least one route')
})

/** A whole load; flags may have added what its file lacks. */
export const loadSchema = loadFileSchema.refine((load) => load.entries.length > 0 || load.route.every((route) => route.direct !== undefined), {
  path: ['entries'], message: 'needs at least one entry host'
})
export type LoadConfig = z.infer<typeof loadSchema>
export type LoadInput = z.input<typeof loadSchema>
