/** An HTTP/1.1 listener for an h3 handler, with limits that can change while it runs. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '@figloom/runtime'
import { afterNextPoll } from './caller-check.js'
import { ListenError } from './listen-error.js'

export type HttpServerLimits = {
  /** Time within which the head of a request has to be received. */
  headerTimeoutMs: number
  /** Time for which a connection may stay idle. */
  idleTimeoutMs: number
}

/** Heads up to this size are parsed; the configured limit is checked afterwards. */
const MAX_HEADER_BYTES = 65_536
/** Interval at which Node checks connections for header and request timeouts. */
const TIMEOUT_CHECK_INTERVAL_MS = 500
/** Idle connections stay open this much longer than their last answer stated, as a caller may send its next request at the last moment. */
const IDLE_MARGIN_MS = 1_000
/** Most new connections that may wait to be accepted. */
const ACCEPT_BACKLOG = 1_024

export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void

/** A connection that this side closed although its caller could still expect an answer on it. */
export type UnexpectedClose = {
  /** Requests on it without a whole answer. */
  openRequests: number
  /** Time since the end of its last answer. */
  idleMs: number
  /** Time for which its last answer stated that it may stay idle. */
  statedIdleMs: number
}

export type HttpServerOptions = {
  /** Time within which a whole request has to be received; 0: none, the handler limits it. */
  requestTimeoutMs?: number
  onUnexpectedClose?: (close: UnexpectedClose) => void
}

type Connection = {
  /** Requests whose answers haven't ended. */
  openRequests: number
  /** Time for which the connection may stay idle, as its last answer stated; 0 before the first answer. */
  statedIdleMs: number
  /** When its last answer ended, in milliseconds of the monotonic clock. */
  idleSinceMs: number
}

export class HttpServer {
  readonly #server: Server
  readonly #connections = new Map<Socket, Connection>()
  #destroyed = false

  private constructor (handler: RequestHandler, private readonly clock: Clock, private readonly options: HttpServerOptions) {
    this.#server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS, requestTimeout: options.requestTimeoutMs ?? 0 })
    this.#server.on('connection', (socket) => this.#track(socket))
    this.#server.on('request', (request, response) => this.#onRequest(request.socket, response))
    this.#server.on('request', handler)
    this.#server.on('timeout', (socket) => closeIfIdle(socket))
  }

  static create (handler: RequestHandler, clock: Clock, options: HttpServerOptions = {}): HttpServer {
    return new HttpServer(handler, clock, options)
  }

  /** Rejects with a ListenError; may then be called again. @param address IP:PORT */
  listen (address: string): Promise<void> {
    const { host, port } = splitAddress(address)
    return new Promise((resolve, reject) => {
      const succeed = () => {
        this.#server.off('error', fail)
        resolve()
      }
      const fail = (error: Error) => {
        this.#server.off('listening', succeed)
        reject(ListenError.create(address, error))
      }
      this.#server.once('listening', succeed)
      this.#server.once('error', fail)
      this.#server.listen({ host, port, backlog: ACCEPT_BACKLOG })
    })
  }

  /** A lower idle limit applies to a connection from its next answer, which states it; a higher one also to idle connections. */
  setLimits (limits: HttpServerLimits): void {
    const isHigher = limits.idleTimeoutMs > this.#server.keepAliveTimeout
    this.#server.headersTimeout = limits.headerTimeoutMs
    // Node states this time in its answers.
    this.#server.keepAliveTimeout = limits.idleTimeoutMs
    if (!isHigher) return
    for (const [socket, { openRequests, statedIdleMs }] of this.#connections) {
      if (openRequests === 0 && statedIdleMs > 0) socket.setTimeout(limits.idleTimeoutMs + IDLE_MARGIN_MS)
    }
  }

  /** Accepts no new connections and closes idle ones; those with a request in progress stay open. */
  stopAccepting (): void {
    this.#server.close()
    this.#server.closeIdleConnections()
  }

  closeIdle (): void {
    this.#server.closeIdleConnections()
  }

  destroy (): void {
    this.#destroyed = true
    this.#server.close()
    for (const socket of this.#connections.keys()) socket.destroy()
  }

  get connectionCount (): number {
    return this.#connections.size
  }

  #track (socket: Socket): void {
    this.#connections.set(socket, { openRequests: 0, statedIdleMs: 0, idleSinceMs: this.clock.monotonicMs() })
    socket.once('close', () => this.#onClose(socket))
  }

  /** The limit may change between the head of an answer, which states the idle time, and the answer's end, at which that time begins. */
  #onRequest (socket: Socket, response: ServerResponse): void {
    const connection = this.#connections.get(socket)
    if (connection === undefined) return
    connection.openRequests += 1
    connection.statedIdleMs = this.#server.keepAliveTimeout
    response.once('finish', () => {
      connection.openRequests -= 1
      connection.idleSinceMs = this.clock.monotonicMs()
      if (!response.shouldKeepAlive) connection.statedIdleMs = 0
      // A pipelined request is in progress, or the connection closes.
      if (connection.openRequests > 0 || connection.statedIdleMs === 0) return
      socket.setTimeout(Math.max(connection.statedIdleMs, this.#server.keepAliveTimeout) + IDLE_MARGIN_MS)
    })
  }

  #onClose (socket: Socket): void {
    const connection = this.#connections.get(socket)
    this.#connections.delete(socket)
    // The caller closed it first, or broke it off.
    const isClosedByCaller = socket.readableEnded || socket.errored !== null
    if (connection === undefined || isClosedByCaller || this.#destroyed) return
    const { openRequests, statedIdleMs, idleSinceMs } = connection
    const idleMs = this.clock.monotonicMs() - idleSinceMs
    if (openRequests > 0 || idleMs < statedIdleMs) this.options.onUnexpectedClose?.({ openRequests, idleMs, statedIdleMs })
  }
}

/** Closes a connection whose idle time is over, unless a request has arrived that this process was too busy to read. */
function closeIfIdle (socket: Socket): void {
  const { bytesRead } = socket
  afterNextPoll(() => {
    if (socket.bytesRead === bytesRead) socket.destroy()
  })
}

export function splitAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}
