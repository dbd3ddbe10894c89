/** Serves one generation request: sends it to a runner, passes the answer on, and retries or resumes failed attempts. */
import { errAsync, ok, err, type Result, ResultAsync } from 'neverthrow'
import { createFailure, ResultCode, SpanKind, startChildSpan, traceHeaders } from '@figloom/runtime'
import type { ModelRoute } from '@figloom/tables'
import type { PrefixHasher, RouteRequest, Target } from '@figloom/routing'
import type { BackendAnswer, BackendClient, BackendFailure } from '../backends/backend-client.js'
import { TokenStream } from '../backends/token-stream.js'
import type { CellRouter } from '../cells/cell-router.js'
import type { RequestMetrics } from './metrics.js'
import { estimateTokens, promptText, type ChatBody } from './chat-body.js'
import { ExecutionTracker } from './execution-tracker.js'
import type { AnswerSink, CallerRequest, HeaderFields } from './types.js'
import { DeadlineSignal } from './deadline-signal.js'
import type { Clock, Failure, Logger } from '@figloom/runtime'

export type GenerationOptions = {
  clock: Clock
  logger: Logger
  backends: BackendClient
  hasher: PrefixHasher
  metrics: RequestMetrics
  /** Time for a whole answer if the caller sets no deadline, in milliseconds. */
  defaultDeadlineMs: number
  maxAnswerBytes: number
  /** Asks an engine to cancel an attempt. */
  cancelAttempt: (runnerUrl: string, attemptId: string) => void
}

type AttemptResult = { tokens: number }

const NOT_RESIDENT_STATUS = 404
const SERVER_ERROR_STATUS = 500

/** One generation request on this host. */
export class Generation {
  readonly #executionTracker = ExecutionTracker.create()
  readonly #routeRequest: RouteRequest
  readonly #deadline: DeadlineSignal
  #attempts = 0
  #tokens = 0

  private constructor (
    private readonly options: GenerationOptions,
    private readonly router: CellRouter,
    private readonly request: CallerRequest,
    private readonly route: ModelRoute,
    private readonly body: ChatBody,
    private readonly sink: AnswerSink
  ) {
    this.#routeRequest = toRouteRequest(options, request, route, body)
    const deadlineMs = request.deadlineMs ?? request.receivedMs + options.defaultDeadlineMs
    this.#deadline = DeadlineSignal.create(options.clock, deadlineMs, request.signal)
  }

  static create (
    options: GenerationOptions, router: CellRouter, request: CallerRequest, route: ModelRoute, body: ChatBody, sink: AnswerSink
  ): Generation {
    return new Generation(options, router, request, route, body, sink)
  }

  /** Resolves when the answer or its failure has been handed to the sink. */
  async run (): Promise<void> {
    try {
      await this.#serve()
    } finally {
      this.#deadline.dispose()
    }
  }

  async #serve (): Promise<void> {
    const first = await this.router.acquire(this.#routeRequest, this.#deadline.signal)
    if (first.kind === 'refuse') return this.#fail(first.failure)
    let runner = first.runner
    for (;;) {
      const result = await this.#attempt(runner)
      if (result.isOk()) return this.router.onDone(this.request.id, result.value.tokens)
      if (this.request.signal.aborted) return this.#cancel()
      this.#executionTracker.record(result.error)
      this.options.logger.debug('attempt failed', { requestId: this.request.id, runner, code: result.error.code.code, reason: result.error.message })
      const next = this.router.onFailed(this.#routeRequest, result.error, this.#attempts)
      if (next.kind === 'give-up') return this.#fail(next.failure)
      this.options.metrics.retries.inc({ kind: next.kind })
      runner = next.send.runner
    }
  }

  /** Ends the request after the caller has disconnected. */
  #cancel (): void {
    this.router.onCanceled(this.request.id)
    this.#fail(createFailure(ResultCode.Canceled, 'the caller disconnected'))
  }

  #fail (failure: Failure): void {
    const final = this.#executionTracker.toFinalFailure(failure)
    this.options.metrics.failures.inc({ code: final.code.code })
    this.sink.fail(final)
  }

  async #attempt (runner: string): Promise<Result<AttemptResult, Failure>> {
    const url = this.router.urlOf(runner)
    if (url === undefined) return err(createFailure(ResultCode.NoRunner, `runner ${runner} was removed from the configuration`))
    this.#attempts += 1
    const attemptId = `${this.request.id}-${this.#attempts}`
    const { span, context } = startChildSpan('backend server', SpanKind.CLIENT, this.request.trace)
    span.setAttributes({ 'figloom.runner': runner, 'figloom.attempt': attemptId })
    const exchanged = await this.#exchange(url, attemptId, traceHeaders(context))
    const result = await exchanged.match(
      (answer) => this.#handleAnswer(answer, attemptId),
      ({ failure }) => Promise.resolve(err<AttemptResult, Failure>(failure))
    )
    if (result.isErr()) {
      span.setAttribute('figloom.code', result.error.code.code)
      if (result.error.ran !== 'no') this.options.cancelAttempt(url, attemptId)
    }
    span.end()
    return result
  }

  #exchange (url: string, attemptId: string, trace: HeaderFields): ResultAsync<BackendAnswer, BackendFailure> {
    const { route, body } = this
    const remainingMs = this.#deadline.remainingMs()
    if (remainingMs <= 0) return errAsync({ timedOut: true, failure: createFailure(ResultCode.DeadlinePassed, 'the deadline passed') })
    const payload = {
      ...body,
      model: route.model,
      figloom_version: route.version,
      ...(route.adapter === undefined ? {} : { figloom_adapter: route.adapter }),
      ...(this.#tokens === 0 ? {} : { figloom_resume_from: this.#tokens })
    }
    return this.options.backends.exchange({
      baseUrl: url,
      path: '/v1/chat/completions',
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        'figloom-attempt-id': attemptId,
        'figloom-priority': this.#routeRequest.priority,
        'figloom-deadline-ms': String(Math.ceil(remainingMs)),
        ...trace
      },
      body: JSON.stringify(payload),
      signal: this.#deadline.signal
    })
  }

  async #handleAnswer (answer: BackendAnswer, attemptId: string): Promise<Result<AttemptResult, Failure>> {
    const { status } = answer
    if (status === NOT_RESIDENT_STATUS) {
      await answer.body.dump().catch(() => {})
      return err(createFailure(ResultCode.NoRunner, 'the model is not resident on the runner', { retryAfterMs: 1000 }))
    }
    if (status >= SERVER_ERROR_STATUS || status === 429 || status === 409) {
      await answer.body.dump().catch(() => {})
      return err(createFailure(ResultCode.BackendFailed, `the backend server answered with status ${status}`))
    }
    const matchesAttempt = (answer.headers['figloom-attempt-id'] ?? attemptId) === attemptId
    if (!matchesAttempt) {
      this.options.metrics.foreignAnswers.inc()
      answer.body.on('error', () => {}).destroy()
      return err(createFailure(ResultCode.BackendFailed, 'the answer belongs to another attempt'))
    }
    const isStream = answer.headers['content-type']?.startsWith('text/event-stream') ?? false
    return isStream ? this.#streamAnswer(answer, attemptId) : this.#sendWholeAnswer(answer)
  }

  async #sendWholeAnswer (answer: BackendAnswer): Promise<Result<AttemptResult, Failure>> {
    const chunks: Buffer[] = []
    let size = 0
    try {
      for await (const chunk of answer.body as AsyncIterable<Buffer>) {
        size += chunk.length
        if (size > this.options.maxAnswerBytes) return err(createFailure(ResultCode.AnswerIncomplete, 'the answer exceeds the size limit'))
        chunks.push(chunk)
      }
    } catch {
      return err(this.#incompleteAnswer())
    }
    if (this.sink.started) return err(this.#incompleteAnswer())
    this.router.onFirstToken(this.request.id)
    this.sink.writeHead(answer.status, { 'content-type': answer.headers['content-type'] ?? 'application/json', 'content-length': String(size) })
    await this.sink.write(Buffer.concat(chunks, size))
    this.sink.end()
    return ok({ tokens: 0 })
  }

  async #streamAnswer (answer: BackendAnswer, attemptId: string): Promise<Result<AttemptResult, Failure>> {
    const stream = TokenStream.create({ attemptId, answerId: `chatcmpl-${this.request.id}`, fromToken: this.#tokens })
    try {
      for await (const bytes of answer.body as AsyncIterable<Buffer>) {
        const parsed = stream.push(bytes)
        if (parsed.foreignEvents > 0) this.options.metrics.foreignAnswers.inc(parsed.foreignEvents)
        if (parsed.text !== '') await this.#writeEvents(parsed.text, parsed.tokens)
        if (stream.complete || stream.broken) break
      }
    } catch {
      return err(this.#incompleteAnswer())
    }
    if (!stream.complete) return err(this.#incompleteAnswer())
    this.sink.end()
    return ok({ tokens: this.#tokens })
  }

  async #writeEvents (text: string, tokens: number): Promise<void> {
    if (!this.sink.started) this.sink.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
    if (tokens > 0 && this.#tokens === 0) {
      this.router.onFirstToken(this.request.id)
      this.options.metrics.firstTokenSeconds.observe({ route: this.route.name }, (this.options.clock.monotonicMs() - this.request.receivedMs) / 1000)
      if (this.request.deadlineMs !== undefined) this.#deadline.extend(this.options.defaultDeadlineMs)
    }
    this.#tokens += tokens
    this.router.onToken(this.request.id, this.#tokens)
    await this.sink.write(text)
  }

  #incompleteAnswer (): Failure {
    if (this.#deadline.expired) return createFailure(ResultCode.BackendTimeout, 'the deadline passed while the answer was in progress')
    const code = this.sink.started ? ResultCode.AnswerIncomplete : ResultCode.BackendFailed
    return createFailure(code, 'the answer ended before it was complete')
  }
}

/** Model version, and adapter if any, that a runner must have resident to serve a route. */
export function toTarget (route: ModelRoute): Target {
  return { model: route.model, version: route.version, ...(route.adapter === undefined ? {} : { adapter: route.adapter }) }
}

function toRouteRequest (options: GenerationOptions, request: CallerRequest, route: ModelRoute, body: ChatBody): RouteRequest {
  const prompt = promptText(body)
  return {
    id: request.id,
    route: route.name,
    target: toTarget(route),
    priority: request.priority ?? route.priority,
    deadlineMs: request.deadlineMs ?? request.receivedMs + route.firstTokenTargetMs,
    betweenTokensTargetMs: route.betweenTokensTargetMs,
    promptTokens: estimateTokens(prompt),
    prefixHashes: options.hasher(prompt),
    idempotent: true
  }
}
