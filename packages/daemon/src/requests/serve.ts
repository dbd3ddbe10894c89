/** Finds the route of a request and serves it here or hands it to a host of its cell. */
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import type { Route } from '@figloom/tables'
import { parseChatBody, type ChatBody } from './chat-body.js'
import type { Directory } from './directory.js'
import { Generation, type GenerationOptions } from './generation.js'
import type { RequestMetrics } from './metrics.js'
import { ServiceCall, type ServiceCallOptions } from './service-call.js'
import type { AnswerSink, CallerRequest } from './types.js'

export const CHAT_PATH = '/v1/chat/completions'
export const SERVICES_PREFIX = '/v1/services/'

/** Passes a request to a host of the pool's cell. */
export abstract class Forwarder {
  abstract forward (request: CallerRequest, route: Route, sink: AnswerSink): Promise<void>
}

export type ServeOptions = {
  directory: Directory
  forwarder: Forwarder
  generation: GenerationOptions
  service: ServiceCallOptions
  metrics: RequestMetrics
  /** Whether new requests are refused because the host is about to stop. */
  isClosed: () => boolean
  maxInFlight: number
}

/** A forwarded request is forwarded no further. */
const MAX_HOPS = 1
const NOT_READY_RETRY_MS = 1000

/** Serves callers' and peers' requests. */
export class RequestService {
  #inFlight = 0
  readonly #idleWaiters: (() => void)[] = []

  private constructor (private readonly options: ServeOptions) {}

  static create (options: ServeOptions): RequestService {
    return new RequestService(options)
  }

  get inFlight (): number {
    return this.#inFlight
  }

  /** Resolves when no request is in flight. */
  async idle (): Promise<void> {
    while (this.#inFlight > 0) await new Promise<void>((resolve) => this.#idleWaiters.push(resolve))
  }

  /** Serves one request; every path ends with an answer or a failure in the sink. */
  async serve (request: CallerRequest, sink: AnswerSink): Promise<void> {
    const refusal = this.#refusal()
    if (refusal !== undefined) return this.#fail(sink, refusal)
    this.#inFlight += 1
    this.options.metrics.inFlight.inc()
    try {
      await this.#dispatch(request, sink)
    } catch (error) {
      this.options.generation.logger.error('request failed by a fault', { requestId: request.id, error: String(error) })
      this.#fail(sink, createFailure(ResultCode.Internal, 'a fault in figloom'))
    } finally {
      this.#inFlight -= 1
      this.options.metrics.inFlight.dec()
      if (this.#inFlight === 0) this.#idleWaiters.splice(0).forEach((resolve) => resolve())
    }
  }

  #refusal (): Failure | undefined {
    const { directory, isClosed, maxInFlight } = this.options
    if (isClosed()) return createFailure(ResultCode.Draining, 'this host is stopping; look up another', { retryAfterMs: 0 })
    if (directory.configVersion === 0) return createFailure(ResultCode.NotReady, 'no configuration is in force here', { retryAfterMs: NOT_READY_RETRY_MS })
    if (this.#inFlight >= maxInFlight) return createFailure(ResultCode.RateLimited, 'too many requests in flight on this host', { retryAfterMs: NOT_READY_RETRY_MS })
    return undefined
  }

  async #dispatch (request: CallerRequest, sink: AnswerSink): Promise<void> {
    const path = request.path.split('?', 1)[0] ?? ''
    if (path === CHAT_PATH) return this.#serveChat(request, sink)
    if (path.startsWith(SERVICES_PREFIX)) return this.#serveService(request, sink)
    this.#fail(sink, createFailure(ResultCode.NotFound, 'no such path'))
  }

  async #serveChat (request: CallerRequest, sink: AnswerSink): Promise<void> {
    this.options.metrics.requests.inc({ kind: 'model' })
    if (request.method !== 'POST') return this.#fail(sink, createFailure(ResultCode.MethodNotAllowed, 'use POST'))
    const body = parseChatBody(request.body)
    if (body.isErr()) return this.#fail(sink, body.error)
    await this.#serveModel(request, body.value, sink)
  }

  async #serveModel (request: CallerRequest, body: ChatBody, sink: AnswerSink): Promise<void> {
    const { directory, forwarder, generation } = this.options
    const route = directory.servingModel(body.model)
    if (route === undefined) return this.#fail(sink, createFailure(ResultCode.NoSuchRoute, `no route is named ${body.model}`))
    const router = directory.routerOf(route.pool)
    if (router !== undefined) return Generation.create(generation, router, request, route, body, sink).run()
    if (request.hops >= MAX_HOPS) return this.#fail(sink, this.#notServed(route))
    await forwarder.forward(request, route, sink)
  }

  async #serveService (request: CallerRequest, sink: AnswerSink): Promise<void> {
    this.options.metrics.requests.inc({ kind: 'service' })
    const { directory, forwarder, service } = this.options
    const { name, rest } = splitServicePath(request.path)
    const route = directory.findService(name)
    if (route === undefined) return this.#fail(sink, createFailure(ResultCode.NoSuchRoute, `no service is named ${name}`))
    const router = directory.routerOf(route.pool)
    if (router !== undefined) return ServiceCall.create(service, router, request, route, rest, sink).run()
    if (request.hops >= MAX_HOPS) return this.#fail(sink, this.#notServed(route))
    await forwarder.forward(request, route, sink)
  }

  #notServed (route: Route): Failure {
    return createFailure(ResultCode.NoRunner, `this host does not serve the pool ${route.pool}`, { retryAfterMs: NOT_READY_RETRY_MS })
  }

  #fail (sink: AnswerSink, failure: Failure): void {
    this.options.metrics.failures.inc({ code: failure.code.code })
    sink.fail(failure)
  }
}

/** Splits `/v1/services/NAME/rest?query` into the name and what the service gets. */
export function splitServicePath (path: string): { name: string, rest: string } {
  const after = path.slice(SERVICES_PREFIX.length)
  const end = after.search(/[/?]/)
  if (end < 0) return { name: decodeName(after), rest: '/' }
  const rest = after.slice(end)
  return { name: decodeName(after.slice(0, end)), rest: rest.startsWith('/') ? rest : `/${rest}` }
}

function decodeName (name: string): string {
  try {
    return decodeURIComponent(name)
  } catch {
    return name
  }
}
