/** An HTTP/1.1 listener for an h3 handler, with limits that can change while it runs. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

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
/** Idle connections stay open this much longer than the stated timeout, so that no request is sent while they are being closed. */
const IDLE_MARGIN_MS = 1_000
/** Most new connections that may wait to be accepted. */
const ACCEPT_BACKLOG = 1_024

export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void

export class HttpServer {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()

  private constructor (handler: RequestHandler, requestTimeoutMs: number) {
    this.#server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS, requestTimeout: requestTimeoutMs }, handler)
    this.#server.on('connection', (socket) => this.#track(socket))
  }

  /** @param requestTimeoutMs time within which a whole request has to be received; 0: none, the handler limits it */
  static create (handler: RequestHandler, requestTimeoutMs = 0): HttpServer {
    return new HttpServer(handler, requestTimeoutMs)
  }

  /** @param address IP:PORT */
  listen (address: string): Promise<void> {
    const { host, port } = splitAddress(address)
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen({ host, port, backlog: ACCEPT_BACKLOG }, () => {
        this.#server.off('error', reject)
        resolve()
      })
    })
  }

  setLimits (limits: HttpServerLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMs
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
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
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  get connectionCount (): number {
    return this.#sockets.size
  }

  #track (socket: Socket): void {
    this.#sockets.add(socket)
    socket.once('close', () => this.#sockets.delete(socket))
  }
}

export function splitAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}
