/** Accepts a caller's request: checks its headers, finds its route, reads its body and starts its run. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import { err, ok, type Result } from 'neverthrow'
import type { Customer, Route, Service } from '../config/types.js'
import { CallerKind, identifyCaller } from '../customers/identify.js'
import { createKeyRefusal } from '../customers/key-refusal.js'
import type { CallerFacts } from '../forward/types.js'
import { readBody, discardRest } from '../front/read-body.js'
import { writeFailure } from './gateway-answer.js'
import { featureIdsOf } from './request-features.js'
import { RequestRun } from './request-run.js'
import { endsInTime } from './rest-of-grace.js'
import type { AcceptedRequest, ServeContext } from './types.js'

const NOT_READY_RETRY_MS = 500
/** Colon, space and line end of a header line. */
const HEADER_LINE_OVERHEAD_BYTES = 4
/** Enough of a key's digest to tell keys apart in the log. */
const LOGGED_DIGEST_CHARS = 8
/** Deadline of a request that states none. */
const DEFAULT_DEADLINE_MS = 60_000

type Destination = {
  route: Route
  service: Service
  /** Whose key the caller shows. */
  customer?: Customer
}

/** Serves one request; resolves when its final answer is written or its caller has disconnected. */
export async function serveRequest (context: ServeContext, incoming: IncomingMessage, response: ServerResponse): Promise<void> {
  // While the event loop was behind, the request may have waited in the socket's buffer.
  const arrivedMs = context.clock.monotonicMs() - context.lag.currentMs()
  const facts = context.codec.decodeRequest(incoming.rawHeaders)
  if (headerBytes(incoming) > (context.config.limits?.maxHeaderBytes ?? Infinity)) {
    return refuse(context, incoming, response, facts, createFailure(ResultCode.HeadersTooLarge, 'the headers exceed the limit'))
  }
  const destination = findDestination(context, incoming).andThen((found) => checkRestOfGrace(context, found, facts)).andThen((found) => findCustomer(context, found, facts))
  if (destination.isErr()) return refuse(context, incoming, response, facts, destination.error)
  const { route, service, customer } = destination.value
  const maxMs = maxDurationMs(route, facts)
  const body = await readBody(incoming, { maxBytes: context.config.limits?.maxBodyBytes ?? Infinity, maxMs }, context.clock, context.memory.requests)
  if (body.isErr()) {
    if (response.destroyed) return
    return refuse(context, incoming, response, facts, body.error)
  }
  const { bytes, release } = body.value
  const content = { method: incoming.method ?? 'GET', target: incoming.url ?? '/', body: bytes }
  const featureIds = featureIdsOf(content, facts)
  // Blocked requests aren't run, so no copy of a model is loaded for them.
  if (!context.crashes.isBlocked(featureIds)) countDemand(context, service, facts, arrivedMs)
  const dueMs = arrivedMs + maxMs
  const request: AcceptedRequest = {
    ...content,
    id: facts.requestId ?? '',
    headers: incoming.rawHeaders,
    facts,
    featureIds,
    route,
    service,
    customer,
    arrivedMs,
    dueMs
  }
  await RequestRun.serve(context, request, incoming, response).finally(release)
  // The run stays in memory until its caller has read the answer; the body isn't needed for that.
  request.body = undefined
}

function findDestination (context: ServeContext, incoming: IncomingMessage): Result<Destination, Failure> {
  const { config } = context
  if (!config.hasConfig) return err(createFailure(ResultCode.NotReady, 'no configuration has been received yet', { retryAfterMs: NOT_READY_RETRY_MS }))
  const route = config.findRoute(incoming.headers.host ?? '', incoming.url ?? '/')
  if (route === undefined) return err(createFailure(ResultCode.NoSuchRoute, 'no route has this host and path'))
  const service = config.services.get(pickService(route, context.random))
  if (service === undefined) return err(createFailure(ResultCode.NoRunner, 'the route refers to an unknown service', { retryAfterMs: NOT_READY_RETRY_MS }))
  return ok({ route, service })
}

/** A host that is about to end refuses what it could not finish. */
function checkRestOfGrace (context: ServeContext, destination: Destination, facts: CallerFacts): Result<Destination, Failure> {
  const leftMs = context.host.endsInMs()
  if (leftMs === undefined) return ok(destination)
  const { route } = destination
  const longestMs = context.durations.longestMs(route.name, context.clock.monotonicMs())
  if (endsInTime({ kind: route.kind, maxMs: maxDurationMs(route, facts), longestMs }, leftMs)) return ok(destination)
  return err(createFailure(ResultCode.Draining, 'this host is stopping and could not finish the request', { retryAfterMs: 0 }))
}

/** A request on a route that isn't public needs the key of a customer. */
function findCustomer (context: ServeContext, destination: Destination, { keyDigest }: CallerFacts): Result<Destination, Failure> {
  const { kind, customer } = identifyCaller(context.config.customersByKey, destination.route, keyDigest)
  if (kind === CallerKind.Unknown) return err(createKeyRefusal(keyDigest !== undefined, context.host.isConfigFresh()))
  return ok({ ...destination, customer })
}

/** Time within which a request gets its final answer. */
function maxDurationMs (route: Route, facts: CallerFacts): number {
  return Math.min(route.timeoutMs, facts.deadlineMs ?? DEFAULT_DEADLINE_MS)
}

/** Picks one of the route's services by weight. */
function pickService (route: Route, random: () => number): string {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = random() * total
  for (const { service, weight } of route.services) {
    remaining -= weight
    if (remaining < 0) return service
  }
  return route.services.at(-1)?.service ?? ''
}

function countDemand (context: ServeContext, service: Service, facts: CallerFacts, nowMs: number): void {
  if (service.engine === undefined || facts.model === undefined) return
  context.demand.count(service.name, facts.model, undefined, nowMs)
  if (facts.adapter !== undefined) context.demand.count(service.name, facts.model, facts.adapter, nowMs)
}

/** Size of the headers as received, without the request line. */
function headerBytes ({ rawHeaders }: IncomingMessage): number {
  const texts = rawHeaders.reduce((sum, text) => sum + text.length, 0)
  return texts + rawHeaders.length / 2 * HEADER_LINE_OVERHEAD_BYTES
}

function refuse (context: ServeContext, incoming: IncomingMessage, response: ServerResponse, facts: CallerFacts, failure: Failure): void {
  context.metrics.requests.inc({ route: 'none', result: failure.code.type })
  context.log.warn('request refused on arrival', { requestId: facts.requestId, result: failure.code.type, reason: failure.message, keyDigest: facts.keyDigest?.slice(0, LOGGED_DIGEST_CHARS), configVersion: context.config.version })
  writeFailure(response, failure, context.host.isLeaving())
  discardRest(incoming, context.clock, failure.code === ResultCode.OutOfMemory ? context.config.limits?.maxBodyBytes : undefined)
}
