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
   * Uses a connection for this request only. A server can close a kept-alive connection just as it is reused, and then
   * it is unknown whether the request ran.
   */
  dedicatedConnection?: boolean
  /** Aborts on cancellation and when the deadline passes. */
  signal: AbortSignal
}

/** Status and headers of a backend server's answer, with the body still to be read. */
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

type DispatchOptionsWithCallback = Dispatcher.DispatchOptions & { onRequestWrite?: () => void }

/** HTTP/1.1 client for backend servers; reports with each failure whether the request can have run. */
export class BackendClient {
  readonly #agents: Agent[]
  readonly #pooled: Dispatcher
  readonly #singleUse: Dispatcher

  private constructor (options: BackendClientOptions) {
    const shared = {
      connections: options.maxConnectionsPerServer,
      connect: { timeout: options.connectTimeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0
    }
    const pooledAgent = new Agent({ ...shared, pipelining: 1, keepAliveTimeout: options.keepAliveMs })
    const singleUseAgent = new Agent({ ...shared, pipelining: 0 })
    this.#agents = [pooledAgent, singleUseAgent]
    this.#pooled = pooledAgent.compose(interceptRequestWrite)
    this.#singleUse = singleUseAgent.compose(interceptRequestWrite)
  }

  static create (options: BackendClientOptions): BackendClient {
    return new BackendClient(options)
  }

  /** Sends a request and resolves once status and headers have arrived. Never retries. */
  exchange (request: BackendRequest): ResultAsync<BackendAnswer, BackendFailure> {
    let sent = false
    const options = {
      origin: request.baseUrl,
      path: request.path,
      method: request.method as Dispatcher.HttpMethod,
      headers: request.headers,
      body: request.body,
      signal: request.signal,
      onRequestWrite: () => { sent = true }
    }
    const dispatcher = request.dedicatedConnection === true ? this.#singleUse : this.#pooled
    const answer = dispatcher.request(options).then(toBackendAnswer)
    return ResultAsync.fromPromise(
      Promise.race([answer, rejectOnAbortIfUnsent(request.signal, () => sent, answer)]),
      (error) => toBackendFailure(error, sent)
    )
  }

  /** Closes all connections; exchanges in flight fail. */
  async destroy (): Promise<void> {
    await Promise.all(this.#agents.map((agent) => agent.destroy()))
  }
}

/**
 * Rejects on abort if nothing has been sent yet. Without this, undici would keep the aborted request queued until a
 * connection is free, and only then drop it without sending.
 */
function rejectOnAbortIfUnsent (signal: AbortSignal, isSent: () => boolean, settled: Promise<unknown>): Promise<never> {
  return new Promise((resolve, reject) => {
    const onAbort = () => { if (!isSent()) reject(signal.reason) }
    if (signal.aborted) return onAbort()
    signal.addEventListener('abort', onAbort, { once: true })
    const release = () => signal.removeEventListener('abort', onAbort)
    settled.then(release, release)
  })
}

/** Calls `onRequestWrite` right before the first byte of a request is written to a connection. */
function interceptRequestWrite (dispatch: Dispatcher.Dispatch): Dispatcher.Dispatch {
  return (options, handler) => {
    const { onRequestWrite } = options as DispatchOptionsWithCallback
    return dispatch(options, {
      onRequestStart: (controller, context) => {
        onRequestWrite?.()
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
    return { timedOut, failure: createFailure(ResultCode.BackendUnreachable, `request not sent: ${detail}`, { ran: 'no', retryAfterMs: 1000 }) }
  }
  if (timedOut) return { timedOut, failure: createFailure(ResultCode.BackendTimeout, 'the deadline passed while waiting for the backend server') }
  return { timedOut, failure: createFailure(ResultCode.BackendFailed, `the backend server failed: ${detail}`) }
}
