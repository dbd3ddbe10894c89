/** Schema of the settings of a load. */
import { z } from 'zod'
import { decimal, integer, milliseconds, ratio, text } from '@figloom/settings'
import { isLoopbackUrl } from './loopback.js'

const MAX_DURATION_MS = 600_000
const MAX_REQUESTS = 1_000_000
const MAX_CONCURRENCY = 2_000

/** URL on this machine; any other is rejected. */
function loopbackUrl (description: string) {
  return z.string().refine(isLoopbackUrl, 'must be a loopback http URL; load is sent to this machine only').describe(description)
}

const directSchema = z.strictObject({
  url: loopbackUrl('Engine that receives the requests directly, without figloom in between.'),
  model: text('Name of the model at the engine.'),
  version: text('Version.').optional(),
  adapter: text('Adapter.').optional()
}).describe('Sends the requests of this route directly to an engine, for comparison.')

/** Schema of a route of the load. */
export const loadRouteSchema = z.strictObject({
  name: text('Name of the route that callers send, or of the service.'),
  label: text('Name in the report; the name of the route by default.').optional(),
  kind: z.enum(['chat', 'service']).default('chat').describe('Chat requests to a model, or calls of a plain service.'),
  requestsPerSecond: decimal(1, 'Mean arrival rate.', { min: 0.001, max: 10_000 }),
  arrivals: z.enum(['poisson', 'uniform', 'burst']).default('poisson').describe('Poisson process, evenly spaced, or in bursts of ten.'),
  streamRatio: ratio(1, 'Share of chat requests that are streamed.'),
  promptCharacters: integer(200, 'Length of a prompt in characters.', { min: 16, max: 100_000 }),
  sharedPrefixes: integer(4, 'Number of different prefixes that prompts share.', { min: 1, max: 10_000 }),
  maxTokens: integer(16, 'Number of tokens in an answer.', { min: 1, max: 10_000 }),
  priority: z.enum(['interactive', 'batch']).default('interactive').describe('Priority that each request states in its header.'),
  deadlineMs: milliseconds(10_000, 'Deadline that each request states in its header.'),
  firstTokenTargetMs: milliseconds(380, 'Latency target for the first token.'),
  betweenTokensTargetMs: milliseconds(43, 'Latency target between tokens, as the mean over a request.'),
  answerTargetMs: milliseconds(500, 'Latency target for the answer of a service.'),
  keyed: z.boolean().default(false).describe('Whether each service call carries a new Idempotency-Key.'),
  repeatRatio: ratio(0, 'Share of keyed calls that are sent a second time under the same key after their answer.'),
  direct: directSchema.optional()
})
export type LoadRoute = z.infer<typeof loadRouteSchema>

/** Schema of a load file: hosts, routes with their rates, and limits. */
export const loadFileSchema = z.strictObject({
  entries: z.array(loopbackUrl('URL of a host to send lookups to.')).default([]).describe('Hosts to send lookups to.'),
  availabilityZone: text('Availability zone of the caller.').optional(),
  seed: integer(1, 'Seed of arrival times and prompts.', { min: 0, max: 2 ** 31 - 1 }),
  durationMs: milliseconds(10_000, 'How long new requests are sent.', { max: MAX_DURATION_MS }),
  maxRequests: integer(10_000, 'Number of requests after which the load ends early.', { max: MAX_REQUESTS }),
  concurrency: integer(64, 'Maximum number of requests in flight; further arrivals are counted as not sent.', { max: MAX_CONCURRENCY }),
  requestTimeoutMs: milliseconds(30_000, 'Timeout of an attempt.', { max: MAX_DURATION_MS }),
  serviceStats: z.array(loopbackUrl('URL of a service stand-in.')).default([]).describe('Service stand-ins whose statistics of runs are read.'),
  engineStats: z.array(loopbackUrl('URL of an engine stand-in.')).default([]).describe('Engine stand-ins whose statistics of operations are read.'),
  route: z.array(loadRouteSchema).min(1, 'needs at least one route')
})

/** Schema of a complete load: the file, with settings that flags add. */
export const loadSchema = loadFileSchema.refine((load) => load.entries.length > 0 || load.route.every((route) => route.direct !== undefined), {
  path: ['entries'], message: 'needs at least one entry host'
})
export type LoadConfig = z.infer<typeof loadSchema>
export type LoadInput = z.input<typeof loadSchema>
