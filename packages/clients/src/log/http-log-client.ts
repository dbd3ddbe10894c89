import { errAsync, err, ok, type Result, type ResultAsync } from 'neverthrow'
import { createFailure, ResultCode, type Clock, type Failure } from '@figloom/runtime'
import { z } from 'zod'
import { JsonHttp, type JsonAnswer, type TransportError } from '../http/json-http.js'
import { LogClient, type LogPage, type ReadOptions } from './types.js'

/** Options of the HTTP client of the log. */
export type HttpLogClientOptions = {
  /** Base URL of the log service. */
  url: string
  clock: Clock
  /** Timeout of an append, and of a read in addition to its `waitMs`. */
  timeoutMs?: number
  connectTimeoutMs?: number
  connections?: number
}

const DEFAULT_TIMEOUT_MS = 2_000
/** Statuses of a log that rejected the request as invalid, so that it took no effect. */
const NO_EFFECT_STATUSES = [400, 404, 405, 413, 422]

const offsetSchema = z.number().int().positive()
const appendAnswerSchema = z.object({ offset: offsetSchema })
const recordSchema = z.object({ offset: offsetSchema, recordId: z.string(), body: z.unknown() })
const pageSchema = z.object({ firstOffset: offsetSchema, nextOffset: offsetSchema, records: z.array(recordSchema) })
const refusalSchema = z.object({ error: z.literal('refused'), retryAfterMs: z.number().nonnegative().optional() })

/** Client of the log over HTTP. */
export class HttpLogClient extends LogClient {
  private constructor (private readonly http: JsonHttp, private readonly url: string, private readonly timeoutMs: number) {
    super()
  }

  static create (options: HttpLogClientOptions): HttpLogClient {
    return new HttpLogClient(JsonHttp.create(options), options.url.replace(/\/$/, ''), options.timeoutMs ?? DEFAULT_TIMEOUT_MS)
  }

  override append (stream: string, recordId: string, body: unknown, signal?: AbortSignal): ResultAsync<{ offset: number }, Failure> {
    return this.http.send({ method: 'POST', url: this.#recordsUrl(stream), body: { recordId, body }, timeoutMs: this.timeoutMs, signal })
      .mapErr(toAppendFailure)
      .andThen(readAppendAnswer)
  }

  override read (stream: string, options: ReadOptions): ResultAsync<LogPage, Failure> {
    if (options.from < 1) return errAsync(createFailure(ResultCode.MalformedRequest, 'offsets start at 1'))
    const waitMs = options.waitMs ?? 0
    const query = new URLSearchParams({ from: String(options.from), waitMs: String(waitMs) })
    if (options.limit !== undefined) query.set('limit', String(options.limit))
    return this.http.send({ method: 'GET', url: `${this.#recordsUrl(stream)}?${query}`, timeoutMs: waitMs + this.timeoutMs, signal: options.signal })
      .mapErr((error) => createFailure(ResultCode.LogUnavailable, error.message, { ran: error.ran }))
      .andThen((answer) => readPage(answer, options.from))
  }

  /** Closes all connections. */
  close (): Promise<void> {
    return this.http.close()
  }

  #recordsUrl (stream: string): string {
    return `${this.url}/streams/${encodeURIComponent(stream)}/records`
  }
}

/** An append that was never sent took no effect; after any other transport error, its outcome is unknown. */
function toAppendFailure (error: TransportError): Failure {
  const code = error.ran === 'no' ? ResultCode.LogRejected : ResultCode.LogUnavailable
  return createFailure(code, error.message)
}

function readAppendAnswer (answer: JsonAnswer): Result<{ offset: number }, Failure> {
  if (answer.status === 200) return parseBody(appendAnswerSchema, answer)
  if (answer.status === 429) return err(toRejection(answer))
  if (answer.status === 503 && refusalSchema.safeParse(answer.body).success) return err(toRejection(answer))
  if (NO_EFFECT_STATUSES.includes(answer.status)) {
    return err(createFailure(ResultCode.MalformedRequest, `the log answered with status ${answer.status}`))
  }
  return err(createFailure(ResultCode.LogUnavailable, `the log answered with status ${answer.status}`))
}

function readPage (answer: JsonAnswer, from: number): Result<LogPage, Failure> {
  if (answer.status === 410) return err(createFailure(ResultCode.LogTruncated, `offset ${from} is no longer retained`))
  if (answer.status === 429) return err(toRejection(answer))
  if (answer.status !== 200) return err(createFailure(ResultCode.LogUnavailable, `the log answered with status ${answer.status}`))
  return parseBody(pageSchema, answer)
    .map((page) => ({ ...page, records: page.records.map(({ offset, recordId, body }) => ({ offset, recordId, body })) }))
    .andThen((page) => isContiguous(page, from) ? ok(page) : err(createFailure(ResultCode.LogUnavailable, 'the log skipped records')))
}

function parseBody<T> (schema: z.ZodType<T>, answer: JsonAnswer): Result<T, Failure> {
  const parsed = schema.safeParse(answer.body)
  if (parsed.success) return ok(parsed.data)
  return err(createFailure(ResultCode.LogUnavailable, 'the log answered with an unexpected body'))
}

function toRejection (answer: JsonAnswer): Failure {
  const body = refusalSchema.safeParse(answer.body)
  const retryAfterMs = body.data?.retryAfterMs ?? answer.retryAfterMs
  return createFailure(ResultCode.LogRejected, 'the log refused the append', retryAfterMs === undefined ? {} : { retryAfterMs })
}

/** Whether the offsets of a page's records are consecutive, starting at the requested offset. */
function isContiguous (page: LogPage, from: number): boolean {
  return page.records.every((record, index) => record.offset === from + index)
}
