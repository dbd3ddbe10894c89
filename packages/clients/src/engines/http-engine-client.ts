import { err, ok, type ResultAsync } from 'neverthrow'
import { createFailure, ResultCode, type Clock, type Failure } from '@figloom/runtime'
import type { z } from 'zod'
import { JsonHttp, type JsonRequest } from '../http/json-http.js'
import { checkAnswer, toPlatformFailure } from '../http/check-answer.js'
import { cacheEventPageSchema, cancelOutcomeSchema, engineReportSchema, orderOutcomeSchema } from './schemas.js'
import { EngineClient, type CacheEventPage, type EngineOrder, type EngineReport, type OrderOutcome } from './types.js'

/** Options of the HTTP client of engines. */
export type HttpEngineClientOptions = {
  clock: Clock
  /** Timeout of a call. */
  timeoutMs?: number
  connectTimeoutMs?: number
  /** Maximum number of connections to one engine. */
  connections?: number
}

const DEFAULT_TIMEOUT_MS = 2_000
const DEFAULT_CONNECTIONS = 2

/** Client of the engines' control interface over HTTP. A failure with `ran: "no"` means that the request was never sent. */
export class HttpEngineClient extends EngineClient {
  private constructor (private readonly http: JsonHttp, private readonly timeoutMs: number) {
    super()
  }

  static create (options: HttpEngineClientOptions): HttpEngineClient {
    const http = JsonHttp.create({ ...options, connections: options.connections ?? DEFAULT_CONNECTIONS })
    return new HttpEngineClient(http, options.timeoutMs ?? DEFAULT_TIMEOUT_MS)
  }

  override order (runnerUrl: string, order: EngineOrder, signal?: AbortSignal): ResultAsync<OrderOutcome, Failure> {
    return this.#call({ method: 'POST', url: `${base(runnerUrl)}/orders`, body: order, signal }, orderOutcomeSchema)
      .andThen((outcome) => outcome.orderId === order.orderId
        ? ok(outcome)
        : err(createFailure(ResultCode.PlatformUnavailable, `engine answered for another order: ${outcome.orderId}`)))
  }

  override report (runnerUrl: string, signal?: AbortSignal): ResultAsync<EngineReport, Failure> {
    return this.#call({ method: 'GET', url: `${base(runnerUrl)}/report`, signal }, engineReportSchema)
  }

  override cacheEvents (runnerUrl: string, fromSequence: number, signal?: AbortSignal): ResultAsync<CacheEventPage, Failure> {
    return this.#call({ method: 'GET', url: `${base(runnerUrl)}/cache-events?from=${fromSequence}`, signal }, cacheEventPageSchema)
  }

  override cancel (runnerUrl: string, attemptId: string, signal?: AbortSignal): ResultAsync<z.infer<typeof cancelOutcomeSchema>, Failure> {
    const url = `${base(runnerUrl)}/v1/attempts/${encodeURIComponent(attemptId)}`
    return this.#call({ method: 'DELETE', url, signal }, cancelOutcomeSchema)
  }

  /** Closes all connections. */
  close (): Promise<void> {
    return this.http.close()
  }

  #call<T> (request: Omit<JsonRequest, 'timeoutMs'>, schema: z.ZodType<T>): ResultAsync<T, Failure> {
    return this.http.send({ ...request, timeoutMs: this.timeoutMs })
      .mapErr((error) => toPlatformFailure(error, 'engine'))
      .andThen((answer) => checkAnswer(answer, schema, 'engine'))
  }
}

function base (runnerUrl: string): string {
  return runnerUrl.replace(/\/$/, '')
}
