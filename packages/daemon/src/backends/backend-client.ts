import { Agent, type Dispatcher } from 'undici'
import { ResultAsync } from 'neverthrow'
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import type { HeaderFields } from '../requests/types.js'

/** A request to a backend server. */
export type BackendRequest = {
  baseUrl: string
  path: string
  method: string
  headers: HeaderFields
  body: Uint8Array | string | null
  /**
   * Uses a connection of its own. A kept connection can be closed by the server at the moment of reuse, and then
   * nobody knows whether the request ran.
   */
  ownConnection?: boolean
  /** Aborts on cancel and deadline. */
  signal: AbortSignal
}

/** Head of a backend server's answer, with its body still to be read. */
export type BackendAnswer = {
  status: number
  headers: HeaderFields
  body: Dispatcher.ResponseData['body']
}

/** A failed exchange. `failure.ran` is `no` exactly when no byte of the request was sent. */
export type BackendFailure = { failure: Failure, timedOut: boolean }

export type BackendClientOptions = {
  maxConnectionsPerServer: number
  connectTimeoutMs: number
  keepAliveMs: number
}

type ObservedOptions = Dispatcher.DispatchOptions & { onSending?: () => void }

/** Exchanges HTTP/1.1 with backend servers and knows for each failure whether the request can have run. */
export class BackendClient {
  readonly #agents: Agent[]
  readonly #pooled: Dispatcher
  readonly #single: Dispatcher

  private constructor (options: BackendClientOptions) {
    const shared = {
      connections: options.maxConnectionsPerServer,
      connect: { timeout: options.connectTimeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0
    }
    const pooled = new Agent({ ...shared, pipelining: 1, keepAliveTimeout: options.keepAliveMs })
    const single = new Agent({ ...shared, pipelining: 0 })
    this.#agents = [pooled, single]
    this.#pooled = pooled.compose(observeSending)
    this.#single = single.compose(observeSending)
  }

  static create (options: BackendClientOptions): BackendClient {
    return new BackendClient(options)
  }

  /** Sends a request once and resolves with the head of the answer. Never repeats by itself. */
  exchange (request: BackendRequest): ResultAsync<BackendAnswer, BackendFailure> {
    let sent = false
    const options = {
      origin: request.baseUrl,
      path: request.path,
      method: request.method as Dispatcher.HttpMethod,
      headers: request.headers,
      body: request.body,
      signal: request.signal,
      onSending: () => { sent = true }
    }
    const dispatcher = request.ownConnection === true ? this.#single : this.#pooled
    const answer = dispatcher.request(options).then(toBackendAnswer)
    return ResultAsync.fromPromise(
      Promise.race([answer, rejectIfUnsent(request.signal, () => sent, answer)]),
      (error) => toBackendFailure(error, sent)
    )
  }

  /** Closes all connections; exchanges in flight fail. */
  async destroy (): Promise<void> {
    await Promise.all(this.#agents.map((agent) => agent.destroy()))
  }
}

/**
 * Rejects on abort when nothing has been sent. The library keeps such a request queued until a connection is free,
 * and drops it then without sending.
 */
function rejectIfUnsent (signal: AbortSignal, isSent: () => boolean, settled: Promise<unknown>): Promise<never> {
  return new Promise((resolve, reject) => {
    const onAbort = () => { if (!isSent()) reject(signal.reason) }
    if (signal.aborted) return onAbort()
    signal.addEventListener('abort', onAbort, { once: true })
    const release = () => signal.removeEventListener('abort', onAbort)
    settled.then(release, release)
  })
}

/** Calls `onSending` right before the first byte of a request is written to a connection. */
function observeSending (dispatch: Dispatcher.Dispatch): Dispatcher.Dispatch {
  return (options, handler) => {
    const { onSending } = options as ObservedOptions
    return dispatch(options, {
      onRequestStart: (controller, context) => {
        onSending?.()
        handler.onRequestStart?.(controller, context)
      },
      onRequestUpgrade: (...parameters) => handler.onRequestUpgrade?.(...parameters),
      onResponseStart: (...parameters) => handler.onResponseStart?.(...parameters),
      onResponseData: (...parameters) => handler.onResponseData?.(...parameters),
      onResponseEnd: (...parameters) => handler.onResponseEnd?.(...parameters),
      onResponseError: (...parameters) => handler.onResponseError?.(...parameters)
    })
  }
}

function toBackendAnswer (answer: Dispatcher.ResponseData): BackendAnswer {
  const headers: HeaderFields = {}
  for (const [name, value] of Object.entries(answer.headers)) {
    if (value !== undefined) headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return { status: answer.statusCode, headers, body: answer.body }
}

function toBackendFailure (error: unknown, sent: boolean): BackendFailure {
  const name = error instanceof Error ? error.name : ''
  const timedOut = name === 'TimeoutError'
  const detail = error instanceof Error ? error.message : String(error)
  if (!sent) {
    return { timedOut, failure: createFailure(ResultCode.BackendUnreachable, `no request was sent: ${detail}`, { ran: 'no', retryAfterMs: 1000 }) }
  }
  if (timedOut) return { timedOut, failure: createFailure(ResultCode.BackendTimeout, 'the deadline passed at the backend server') }
  return { timedOut, failure: createFailure(ResultCode.BackendFailed, `the backend server failed: ${detail}`) }
}
