import { Agent, request } from 'undici'
import { ResultAsync } from 'neverthrow'
import type { Clock, Ran } from '@figloom/runtime'

/** Options of a client for JSON over HTTP. */
export type JsonHttpOptions = {
  clock: Clock
  /** Timeout for opening a connection. */
  connectTimeoutMs?: number
  /** Maximum number of connections to one address. */
  connections?: number
  /** Maximum size of an answer's body. */
  maxAnswerBytes?: number
}

/** A request; `timeoutMs` covers the time from the call to the last byte of the answer. */
export type JsonRequest = {
  method: 'GET' | 'POST' | 'DELETE'
  url: string
  body?: unknown
  timeoutMs: number
  signal?: AbortSignal | undefined
}

/** An answer of any status; `body` is undefined if it is not JSON. */
export type JsonAnswer = { status: number, retryAfterMs?: number, body: unknown }

/** No complete answer was received; `ran` is `no` only if no byte of the request was sent. */
export type TransportError = { ran: Ran, message: string }

const DEFAULT_CONNECT_TIMEOUT_MS = 1_000
const DEFAULT_CONNECTIONS = 16
const DEFAULT_MAX_ANSWER_BYTES = 64 * 1024 * 1024
const MS_PER_SECOND = 1_000

/** Codes of errors in opening a connection: the request was never written. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT'])

/** HTTP client for the platform's JSON services, with timeouts on the injected clock. */
export class JsonHttp {
  readonly #agent: Agent

  private constructor (private readonly clock: Clock, options: JsonHttpOptions) {
    this.#agent = new Agent({
      connect: { timeout: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS },
      connections: options.connections ?? DEFAULT_CONNECTIONS,
      maxResponseSize: options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES,
      headersTimeout: 0,
      bodyTimeout: 0
    })
  }

  static create (options: JsonHttpOptions): JsonHttp {
    return new JsonHttp(options.clock, options)
  }

  /** Sends a request, without retries. */
  send (options: JsonRequest): ResultAsync<JsonAnswer, TransportError> {
    return ResultAsync.fromPromise(this.#send(options), toTransportError)
  }

  /** Closes all connections, including those in use. */
  close (): Promise<void> {
    return this.#agent.destroy()
  }

  async #send ({ method, url, body, timeoutMs, signal }: JsonRequest): Promise<JsonAnswer> {
    const abort = new AbortController()
    const onAbort = () => abort.abort(new Error('aborted by the caller'))
    const timer = this.clock.setTimer(timeoutMs, () => abort.abort(new Error(`no answer within ${timeoutMs} ms`)))
    signal?.addEventListener('abort', onAbort, { once: true })
    if (signal?.aborted) onAbort()
    try {
      const answer = await request(url, {
        dispatcher: this.#agent,
        method,
        signal: abort.signal,
        ...(body === undefined ? {} : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } })
      })
      const text = await answer.body.text()
      return { status: answer.statusCode, body: parseJson(text), ...parseRetryAfter(answer.headers['retry-after']) }
    } finally {
      timer.cancel()
      signal?.removeEventListener('abort', onAbort)
    }
  }
}

function toTransportError (error: unknown): TransportError {
  const { code, message } = error as { code?: string, message?: string }
  const ran = code !== undefined && NOT_SENT_CODES.has(code) ? 'no' : 'unknown'
  return { ran, message: message || code || String(error) }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function parseRetryAfter (header: string | string[] | undefined): { retryAfterMs?: number } {
  const seconds = Number(header)
  return header === undefined || !Number.isFinite(seconds) ? {} : { retryAfterMs: seconds * MS_PER_SECOND }
}
