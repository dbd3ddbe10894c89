/** HTTP interface for callers. */
import { createApp, createRouter, eventHandler, getQuery, toNodeListener, type H3Event } from 'h3'
import { createFailure, ResultCode, SpanKind, startHopSpan, type Clock, type Failure, type IdSource } from '@figloom/runtime'
import type { ListenerHandler, ListenerRequest, ListenerResponse } from '../listener/http-listener.js'
import { readBody } from '../requests/body.js'
import type { Directory } from '../requests/directory.js'
import { CHAT_PATH, SERVICES_PREFIX, type RequestService } from '../requests/request-service.js'
import { flattenHeaders, toCallerRequest } from './caller-request.js'
import { HttpSink } from './http-sink.js'
import type { LookupAnswer, LookupService } from './lookup.js'

export type CallersOptions = {
  clock: Clock
  ids: IdSource
  host: string
  directory: Directory
  lookup: LookupService
  requests: RequestService
  maxBodyBytes: number
}

/** Creates the handler of the callers' listener. */
export function createCallersHandler (options: CallersOptions): ListenerHandler {
  const router = createRouter()
  router.get('/v1/lookup', eventHandler((event) => answerLookup(options, event)))
  router.get('/v1/models', eventHandler((event) => answerModels(options, event)))
  router.use(CHAT_PATH, eventHandler((event) => serveRequest(options, event)))
  router.use(`${SERVICES_PREFIX}**`, eventHandler((event) => serveRequest(options, event)))
  const app = createApp({ onError: (_error, event) => sendFailure(options, event, createFailure(ResultCode.Internal, 'internal error in figloom')) })
  app.use(router.handler)
  app.use(eventHandler((event) => sendFailure(options, event, createFailure(ResultCode.NotFound, 'no such path'))))
  return toNodeListener(app) as ListenerHandler
}

async function serveRequest (options: CallersOptions, event: H3Event): Promise<void> {
  const { request, response } = nodeObjects(event)
  const receivedMs = options.clock.monotonicMs()
  const id = options.ids.next()
  const { span, context } = startHopSpan('entry', SpanKind.SERVER, flattenHeaders(request.headers))
  const { traceId, spanId, traceFlags } = span.spanContext()
  const sink = HttpSink.create(response, {
    'figloom-request-id': id,
    'figloom-host': options.host,
    traceparent: `00-${traceId}-${spanId}-0${traceFlags & 1}`
  })
  span.setAttribute('figloom.request', id)
  const body = await readBody(request, options.maxBodyBytes)
  const parsed = body.andThen((bytes) => toCallerRequest(request, response, { id, clock: options.clock, trace: context, body: bytes, receivedMs }))
  if (parsed.isErr()) sink.fail(parsed.error)
  else await options.requests.serve(parsed.value, sink)
  span.end()
  if (!response.writableFinished && !response.destroyed) await waitForClose(response)
}

function answerLookup (options: CallersOptions, event: H3Event): void {
  const query = getQuery(event)
  const parameter = (name: string) => typeof query[name] === 'string' ? query[name] : undefined
  const answer = options.lookup.lookup({
    model: parameter('model'),
    service: parameter('service'),
    availabilityZone: parameter('availabilityZone'),
    callerKey: nodeObjects(event).request.socket?.remoteAddress
  })
  answer.match((found: LookupAnswer) => sendJson(options, event, found), (failure: Failure) => sendFailure(options, event, failure))
}

function answerModels (options: CallersOptions, event: H3Event): void {
  const data = options.directory.routes
    .filter((route) => route.kind === 'model')
    .map(({ name }) => ({ id: name, object: 'model', created: 0, owned_by: 'figloom' }))
  sendJson(options, event, { object: 'list', data })
}

function sendJson (options: CallersOptions, event: H3Event, value: unknown): void {
  const { response } = nodeObjects(event)
  const body = JSON.stringify(value)
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'figloom-host': options.host })
  response.end(body)
}

function sendFailure (options: CallersOptions, event: H3Event, failure: Failure): void {
  HttpSink.create(nodeObjects(event).response, { 'figloom-host': options.host }).fail(failure)
}

/** The Node request and response of an event; over HTTP/2 they are those of Node's compatibility API. */
function nodeObjects (event: H3Event): { request: ListenerRequest, response: ListenerResponse } {
  return { request: event.node.req as ListenerRequest, response: event.node.res as ListenerResponse }
}

function waitForClose (response: ListenerResponse): Promise<void> {
  return new Promise((resolve) => {
    response.once('finish', resolve)
    response.once('close', resolve)
  })
}
