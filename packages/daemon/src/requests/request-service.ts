/** Finds the route of a request, and serves it on this host or forwards it to a host of its cell. */
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

/** Forwards a request to a host of the pool's cell. */
export abstract class Forwarder {
  abstract forward (request: CallerRequest, route: Route, sink: AnswerSink): Promise<void>
}

export type RequestServiceOptions = {
  directory: Directory
  forwarder: Forwarder
  generation: GenerationOptions
  service: ServiceCallOptions
  metrics: RequestMetrics
  /** Whether new requests are refused because the host is shutting down. */
  isClosed: () => boolean
  maxInFlight: number
}

/** A forwarded request is not forwarded again. */
const MAX_HOPS = 1
const NOT_READY_RETRY_MS = 1000

/** Serves requests from callers and from peers. */
export class RequestService {
  #inFlight = 0
  readonly #idleWaiters: (() => void)[] = []

  private constructor (private readonly options: RequestServiceOptions) {}

  static create (options: RequestServiceOptions): RequestService {
    return new RequestService(options)
  }

  get inFlight (): number {
    return this.#inFlight
  }

  /** Resolves when no request is in flight. */
  async idle (): Promise<void> {
    while (this.#inFlight > 0) await new Promise<void>((resolve) => this.#idleWaiters.push(resolve))
  }

  /** Serves one request; always ends the sink with an answer or a failure. */
  async serve (request: CallerRequest, sink: AnswerSink): Promise<void> {
    const refused = this.#admissionFailure()
    if (refused !== undefined) return this.#fail(sink, refused)
    this.#inFlight += 1
    this.options.metrics.inFlight.inc()
    try {
      await this.#routeByPath(request, sink)
    } catch (error) {
      this.options.generation.logger.error('request failed with an unexpected error', { requestId: request.id, error: String(error) })
      this.#fail(sink, createFailure(ResultCode.Internal, 'internal error in figloom'))
    } finally {
      this.#inFlight -= 1
      this.options.metrics.inFlight.dec()
      if (this.#inFlight === 0) this.#idleWaiters.splice(0).forEach((resolve) => resolve())
    }
  }

  #admissionFailure (): Failure | undefined {
    const { directory, isClosed, maxInFlight } = this.options
    if (isClosed()) return createFailure(ResultCode.Draining, 'this host is shutting down; look up another one', { retryAfterMs: 0 })
    if (directory.configVersion === 0) return createFailure(ResultCode.NotReady, 'no configuration is in force on this host', { retryAfterMs: NOT_READY_RETRY_MS })
    if (this.#inFlight >= maxInFlight) return createFailure(ResultCode.RateLimited, 'too many requests in flight on this host', { retryAfterMs: NOT_READY_RETRY_MS })
    return undefined
  }

  async #routeByPath (request: CallerRequest, sink: AnswerSink): Promise<void> {
    const path = request.path.split('?', 1)[0] ?? ''
    if (path === CHAT_PATH) return this.#serveChat(request, sink)
    if (path.startsWith(SERVICES_PREFIX)) return this.#serveService(request, sink)
    this.#fail(sink, createFailure(ResultCode.NotFound, 'no such path'))
  }

  async #serveChat (request: CallerRequest, sink: AnswerSink): Promise<void> {
    this.options.metrics.requests.inc({ kind: 'model' })
    if (request.method !== 'POST') return this.#fail(sink, createFailure(ResultCode.MethodNotAllowed, 'only POST is allowed'))
    const body = parseChatBody(request.body)
    if (body.isErr()) return this.#fail(sink, body.error)
    await this.#serveModel(request, body.value, sink)
  }

  async #serveModel (request: CallerRequest, body: ChatBody, sink: AnswerSink): Promise<void> {
    const { directory, forwarder, generation } = this.options
    const route = directory.servingModel(body.model)
    if (route === undefined) return this.#fail(sink, createFailure(ResultCode.NoSuchRoute, `there is no route for the model ${body.model}`))
    const router = directory.routerOf(route.pool)
    if (router !== undefined) return Generation.create(generation, router, request, route, body, sink).run()
    if (request.hops >= MAX_HOPS) return this.#fail(sink, this.#poolNotServed(route))
    await forwarder.forward(request, route, sink)
  }

  async #serveService (request: CallerRequest, sink: AnswerSink): Promise<void> {
    this.options.metrics.requests.inc({ kind: 'service' })
    const { directory, forwarder, service } = this.options
    const { name, rest } = splitServicePath(request.path)
    const route = directory.findService(name)
    if (route === undefined) return this.#fail(sink, createFailure(ResultCode.NoSuchRoute, `there is no route for the service ${name}`))
    const router = directory.routerOf(route.pool)
    if (router !== undefined) return ServiceCall.create(service, router, request, route, rest, sink).run()
    if (request.hops >= MAX_HOPS) return this.#fail(sink, this.#poolNotServed(route))
    await forwarder.forward(request, route, sink)
  }

  #poolNotServed (route: Route): Failure {
    return createFailure(ResultCode.NoRunner, `this host does not serve the pool ${route.pool}`, { retryAfterMs: NOT_READY_RETRY_MS })
  }

  #fail (sink: AnswerSink, failure: Failure): void {
    this.options.metrics.failures.inc({ code: failure.code.code })
    sink.fail(failure)
  }
}

/** Splits `/v1/services/NAME/rest?query` into the service's name and the path and query to send to it. */
export function splitServicePath (path: string): { name: string, rest: string } {
  const nameAndRest = path.slice(SERVICES_PREFIX.length)
  const nameEnd = nameAndRest.search(/[/?]/)
  if (nameEnd < 0) return { name: decodeName(nameAndRest), rest: '/' }
  const rest = nameAndRest.slice(nameEnd)
  return { name: decodeName(nameAndRest.slice(0, nameEnd)), rest: rest.startsWith('/') ? rest : `/${rest}` }
}

function decodeName (name: string): string {
  try {
    return decodeURIComponent(name)
  } catch {
    return name
  }
}
