/** A plain HTTP/1.1 listener around an h3 handler, with limits that may change while it runs. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

export type HttpServerLimits = {
  /** How long the head of a request may take. */
  headerTimeoutMs: number
  /** How long a connection may stay idle. */
  idleTimeoutMs: number
}

/** Heads up to this size are parsed; the configuration's limit is checked behind it. */
const MAX_HEADER_BYTES = 65_536
/** How often the library looks for connections that are too slow. */
const TIMEOUT_CHECK_INTERVAL_MS = 500
/** Idle connections of callers stay open this much longer than promised, so that no request crosses the close. */
const IDLE_MARGIN_MS = 1_000
/** New connections that wait to be accepted. */
const ACCEPT_BACKLOG = 1_024

export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void

export class HttpServer {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()

  private constructor (handler: RequestHandler, requestTimeoutMs: number) {
    this.#server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS, requestTimeout: requestTimeoutMs }, handler)
    this.#server.on('connection', (socket) => this.#track(socket))
  }

  /** @param requestTimeoutMs time in which a whole request has to come; 0: the handler sees to it */
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

  /** Takes no new connections and closes idle ones; those with a request under way stay. */
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
