/** Serves a call to a plain service; a non-idempotent call runs at most once for its idempotency key. */
import { createHash } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { createFailure, Ran, ResultCode, SpanKind, startChildSpan, traceHeaders, type Clock, type Failure } from '@figloom/runtime'
import { Priority, type ServiceRoute } from '@figloom/tables'
import type { RouteRequest } from '@figloom/routing'
import type { Attempt, ClaimResult, KeyedCall, KeptAnswer, ServiceAnswer } from '@figloom/control'
import type { BackendClient } from '../backends/backend-client.js'
import type { CellRouter } from '../cells/cell-router.js'
import { DeadlineSignal } from './deadline-signal.js'
import type { RequestMetrics } from './metrics.js'
import { ExecutionTracker } from './execution-tracker.js'
import type { AnswerSink, CallerRequest, HeaderFields } from './types.js'

/** Placeholder for the model version in routing decisions, since plain services have none. */
export const SERVICE_VERSION = 'service'

export type ServiceCallOptions = {
  clock: Clock
  backends: BackendClient
  metrics: RequestMetrics
  /** Claims the key of a non-idempotent call. */
  claim: (call: KeyedCall) => Promise<ClaimResult>
  maxAnswerBytes: number
}

const KEY_HEADER = 'idempotency-key'
const MAX_KEY_LENGTH = 256
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS'])
const HEADERS_NOT_SENT_TO_SERVICE = new Set([
  'host', 'connection', 'keep-alive', 'transfer-encoding', 'content-length', 'upgrade', 'te', 'trailer', 'expect',
  'proxy-authorization', 'proxy-connection', 'http2-settings', 'traceparent', 'tracestate'
])
const HEADERS_NOT_SENT_TO_CALLER = new Set([
  'connection', 'keep-alive', 'transfer-encoding', 'content-length', 'upgrade', 'trailer', 'proxy-connection'
])

/** One call on this host. `path` is the path and query to send to the service. */
export class ServiceCall {
  readonly #executionTracker = ExecutionTracker.create()
  readonly #deadline: DeadlineSignal
  readonly #routeRequest: RouteRequest
  #attempts = 0

  private constructor (
    private readonly options: ServiceCallOptions,
    private readonly router: CellRouter,
    private readonly request: CallerRequest,
    private readonly route: ServiceRoute,
    private readonly path: string,
    private readonly sink: AnswerSink
  ) {
    const deadlineMs = request.deadlineMs ?? request.receivedMs + route.answerTargetMs
    this.#deadline = DeadlineSignal.create(options.clock, deadlineMs, request.signal)
    this.#routeRequest = toRouteRequest(request, route, deadlineMs)
  }

  static create (
    options: ServiceCallOptions, router: CellRouter, request: CallerRequest, route: ServiceRoute, path: string, sink: AnswerSink
  ): ServiceCall {
    return new ServiceCall(options, router, request, route, path, sink)
  }

  /** Resolves when the answer or its failure has been handed to the sink. */
  async run (): Promise<void> {
    try {
      await (this.#routeRequest.idempotent ? this.#runRetryable() : this.#runAtMostOnce())
    } finally {
      this.#deadline.dispose()
    }
  }

  async #runRetryable (): Promise<void> {
    const result = await this.#callRunners()
    await result.match((answer) => this.#sendAnswer(answer), async (failure) => this.#fail(failure))
  }

  async #runAtMostOnce (): Promise<void> {
    const key = this.request.headers[KEY_HEADER]
    if (key === undefined || key === '' || key.length > MAX_KEY_LENGTH) {
      return this.#fail(createFailure(ResultCode.KeyRequired, `this call needs an Idempotency-Key of 1 to ${MAX_KEY_LENGTH} characters`))
    }
    const claimResult = await this.options.claim({
      service: this.route.name, key, fingerprint: this.#fingerprint(), timeoutMs: Math.max(0, this.#deadline.remainingMs())
    })
    if (claimResult.kind === 'refused') return this.#fail(claimResult.failure)
    if (claimResult.kind === 'replay') return this.#replay(claimResult.answer)
    await this.#runClaimed(claimResult.attempt)
  }

  async #runClaimed (attempt: Attempt): Promise<void> {
    if (!attempt.beginSend()) return this.#fail(createFailure(ResultCode.DeadlinePassed, 'the deadline passed before the call was sent'))
    const result = await this.#callRunners()
    if (result.isOk()) {
      attempt.answered(result.value)
      return this.#sendAnswer(result.value)
    }
    if (this.#executionTracker.toFinalFailure(result.error).ran === Ran.No) attempt.notSent()
    else attempt.outcomeUnknown()
    this.#fail(result.error)
  }

  /** Calls runners until one answers or the failure is final. */
  async #callRunners (): Promise<Result<ServiceAnswer, Failure>> {
    const first = await this.router.acquire(this.#routeRequest, this.#deadline.signal)
    if (first.kind === 'refuse') return err(first.failure)
    let runner = first.runner
    for (;;) {
      this.#attempts += 1
      const result = await this.#callRunner(runner)
      if (result.isOk()) {
        this.router.onFirstToken(this.request.id)
        this.router.onDone(this.request.id, 1)
        return result
      }
      this.#executionTracker.record(result.error)
      if (this.request.signal.aborted) {
        this.router.onCanceled(this.request.id)
        return result
      }
      const next = this.router.onFailed(this.#routeRequest, result.error, this.#attempts)
      if (next.kind === 'give-up') return err(next.failure)
      this.options.metrics.retries.inc({ kind: next.kind })
      runner = next.send.runner
    }
  }

  async #callRunner (runner: string): Promise<Result<ServiceAnswer, Failure>> {
    const url = this.router.urlOf(runner)
    if (url === undefined) return err(createFailure(ResultCode.NoRunner, `runner ${runner} was removed from the configuration`))
    const { span, context } = startChildSpan('backend server', SpanKind.CLIENT, this.request.trace)
    span.setAttribute('figloom.runner', runner)
    const result = await this.#exchange(url, traceHeaders(context))
    if (result.isErr()) span.setAttribute('figloom.code', result.error.code.code)
    span.end()
    return result
  }

  async #exchange (url: string, trace: HeaderFields): Promise<Result<ServiceAnswer, Failure>> {
    const { request } = this
    const exchanged = await this.options.backends.exchange({
      baseUrl: url,
      path: this.path,
      method: request.method,
      headers: { ...omitHeaders(request.headers, HEADERS_NOT_SENT_TO_SERVICE), ...trace },
      body: request.body.length === 0 ? null : request.body,
      dedicatedConnection: !this.#routeRequest.idempotent,
      signal: this.#deadline.signal
    })
    if (exchanged.isErr()) return err(exchanged.error.failure)
    const { status, headers, body } = exchanged.value
    const answerBody = await readAnswerBody(body as AsyncIterable<Buffer>, this.options.maxAnswerBytes)
    return answerBody.map((bytes) => ({ status, headers: Object.entries(omitHeaders(headers, HEADERS_NOT_SENT_TO_CALLER)), body: bytes }))
  }

  async #sendAnswer ({ status, headers, body }: ServiceAnswer, extraHeaders: HeaderFields = {}): Promise<void> {
    this.sink.writeHead(status, { ...Object.fromEntries(headers), 'content-length': String(body.length), ...extraHeaders })
    await this.sink.write(body)
    this.sink.end()
  }

  #replay ({ status, headers, bodyBase64 }: KeptAnswer): Promise<void> {
    return this.#sendAnswer({ status, headers, body: Buffer.from(bodyBase64, 'base64') }, { 'figloom-replayed': 'true' })
  }

  #fail (failure: Failure): void {
    const final = this.#executionTracker.toFinalFailure(failure)
    this.options.metrics.failures.inc({ code: final.code.code })
    this.sink.fail(final)
  }

  #fingerprint (): Uint8Array {
    const { method, body } = this.request
    return createHash('sha256').update(`${method} ${this.path}\n`).update(body).digest()
  }
}

async function readAnswerBody (body: AsyncIterable<Buffer>, maxBytes: number): Promise<Result<Buffer, Failure>> {
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of body) {
      size += chunk.length
      if (size > maxBytes) return err(createFailure(ResultCode.AnswerIncomplete, 'the answer exceeds the size limit'))
      chunks.push(chunk)
    }
  } catch {
    return err(createFailure(ResultCode.BackendFailed, 'the answer ended before it was complete'))
  }
  return ok(Buffer.concat(chunks, size))
}

function omitHeaders (headers: HeaderFields, omitted: ReadonlySet<string>): HeaderFields {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !omitted.has(name) && !name.startsWith(':')))
}

function toRouteRequest (request: CallerRequest, route: ServiceRoute, deadlineMs: number): RouteRequest {
  return {
    id: request.id,
    route: route.name,
    target: { model: route.service, version: SERVICE_VERSION },
    priority: request.priority ?? Priority.Interactive,
    deadlineMs,
    betweenTokensTargetMs: Infinity,
    promptTokens: 0,
    prefixHashes: [],
    idempotent: route.idempotent || SAFE_METHODS.has(request.method)
  }
}
