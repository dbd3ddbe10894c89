import { createServer as createHttp1Server, type IncomingMessage, type Server as Http1Server, type ServerResponse } from 'node:http'
import { createServer as createHttp2Server, type Http2Server, type Http2ServerRequest, type Http2ServerResponse, type ServerHttp2Session } from 'node:http2'
import { createServer as createTcpServer, type AddressInfo, type Server as TcpServer, type Socket } from 'node:net'
import { createFailure, ResultCode, toFailureBody, type Failure } from '@figloom/runtime'

/** Limits of one listener. */
export type ListenerLimits = {
  maxHeaderBytes: number
  maxConnections: number
  maxStreamsPerConnection: number
  /** Time in which a connection must deliver a complete request head, in milliseconds. */
  headTimeoutMs: number
}

/** Node request, over HTTP/1.1 or HTTP/2. */
export type ListenerRequest = IncomingMessage | Http2ServerRequest

/** Node response, over HTTP/1.1 or HTTP/2. */
export type ListenerResponse = ServerResponse | Http2ServerResponse

export type ListenerHandler = (request: ListenerRequest, response: ListenerResponse) => void

const IDLE_CHECK_MS = 50
const HTTP2_PREFACE = Buffer.from('PRI * HTTP/2.0')

/** Listens on one TCP port for HTTP/1.1 and cleartext HTTP/2 with prior knowledge. */
export class HttpListener {
  readonly #tcp: TcpServer
  readonly #http1: Http1Server
  readonly #http2: Http2Server
  readonly #sockets = new Set<Socket>()
  readonly #sessions = new Set<ServerHttp2Session>()

  private constructor (handler: ListenerHandler, private readonly limits: ListenerLimits) {
    this.#http1 = createHttp1Server({
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headTimeoutMs,
      requestTimeout: 0
    }, handler as (request: IncomingMessage, response: ServerResponse) => void)
    this.#http1.on('clientError', (error: NodeJS.ErrnoException, socket) => refuseMalformedRequest(error, socket as Socket))
    this.#http2 = createHttp2Server({
      settings: { maxConcurrentStreams: limits.maxStreamsPerConnection, maxHeaderListSize: limits.maxHeaderBytes }
    }, handler as (request: Http2ServerRequest, response: Http2ServerResponse) => void)
    this.#http2.on('session', (session) => this.#trackSession(session))
    this.#http2.on('sessionError', () => {})
    this.#tcp = createTcpServer({ noDelay: true }, (socket) => this.#accept(socket))
  }

  static create (handler: ListenerHandler, limits: ListenerLimits): HttpListener {
    return new HttpListener(handler, limits)
  }

  /** Starts to listen; resolves with the bound address. Port 0 selects a free port. */
  listen (host: string, port: number): Promise<AddressInfo> {
    return new Promise((resolve, reject) => {
      this.#tcp.once('error', reject)
      this.#tcp.listen(port, host, () => {
        this.#tcp.off('error', reject)
        resolve(this.#tcp.address() as AddressInfo)
      })
    })
  }

  get connectionCount (): number {
    return this.#sockets.size
  }

  /** Accepts no new connections, completes the answers in progress, and resolves when all connections are closed. */
  async close (): Promise<void> {
    const closed = new Promise<void>((resolve) => { this.#tcp.close(() => resolve()) })
    for (const session of this.#sessions) session.close()
    // A connection becomes idle only once its answer has been read, so idle connections are closed repeatedly.
    const idleTimer = setInterval(() => this.#http1.closeIdleConnections(), IDLE_CHECK_MS)
    this.#http1.closeIdleConnections()
    await closed
    clearInterval(idleTimer)
  }

  /** Stops listening and destroys all connections. */
  destroy (): void {
    this.#tcp.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #accept (socket: Socket): void {
    socket.on('error', () => {})
    if (this.#sockets.size >= this.limits.maxConnections) {
      const failure = createFailure(ResultCode.RateLimited, 'too many connections to this host', { retryAfterMs: 1000 })
      socket.end(formatHttp1Failure(failure))
      return
    }
    this.#sockets.add(socket)
    socket.once('close', () => { this.#sockets.delete(socket) })
    const headTimer = setTimeout(() => socket.destroy(), this.limits.headTimeoutMs)
    socket.once('close', () => clearTimeout(headTimer))
    socket.once('readable', () => {
      clearTimeout(headTimer)
      this.#dispatch(socket)
    })
  }

  #dispatch (socket: Socket): void {
    const firstBytes: Buffer | null = socket.read()
    if (firstBytes === null) return
    socket.unshift(firstBytes)
    const length = Math.min(firstBytes.length, HTTP2_PREFACE.length)
    const isHttp2 = firstBytes.subarray(0, length).equals(HTTP2_PREFACE.subarray(0, length))
    const server = isHttp2 ? this.#http2 : this.#http1
    server.emit('connection', socket)
  }

  #trackSession (session: ServerHttp2Session): void {
    this.#sessions.add(session)
    session.once('close', () => { this.#sessions.delete(session) })
  }
}

function refuseMalformedRequest (error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable) return
  const failure = error.code === 'HPE_HEADER_OVERFLOW'
    ? createFailure(ResultCode.HeadersTooLarge, 'the headers exceed the limit')
    : createFailure(ResultCode.MalformedRequest, 'the request is not valid HTTP')
  socket.end(formatHttp1Failure(failure))
}

function formatHttp1Failure (failure: Failure): string {
  const body = JSON.stringify(toFailureBody(failure))
  const retryAfter = failure.retryAfterMs === undefined ? '' : `Retry-After: ${Math.ceil(failure.retryAfterMs / 1000)}\r\n`
  return `HTTP/1.1 ${failure.code.httpStatus} ${failure.code.type}\r\nContent-Type: application/json\r\n` +
    `Content-Length: ${Buffer.byteLength(body)}\r\n${retryAfter}Connection: close\r\n\r\n${body}`
}
