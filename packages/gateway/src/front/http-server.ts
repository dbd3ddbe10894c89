/** An HTTP/1.1 listener for an h3 handler, with limits that can change while it runs. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'
import type { Clock } from '@figloom/runtime'
import { ByteBudget, ByteKind } from '../memory/byte-budget.js'
import { afterNextPoll } from './caller-check.js'
import { ConnectionRoom, type ConnectionShare } from './connection-room.js'
import { ListenError } from './listen-error.js'
import { untilQuietPoll } from './quiet-poll.js'
import { RequestFeed } from './request-feed.js'
import { RequestRoom, type AheadLimit, type RequestRoomLimits } from './request-room.js'

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
/** Callers whose network is away for some seconds read on afterwards. */
const MIN_UNREAD_MS = 10_000
/** A caller is closed after so many checks in a row that see no byte taken. One alone may follow a suspension of this process. */
const UNREAD_CHECKS = 2
/** Checks within this multiple of their interval are in a row: Node puts a check off when it sees bytes taken. */
const IN_A_ROW_FACTOR = 1.5
/** Most new connections that may wait to be accepted. */
const ACCEPT_BACKLOG = 1_024
/** A caller sends its first request within this time after it has connected: a round trip to the farthest callers. */
const FIRST_REQUEST_MS = 200
/** Enough to accept all connections that may wait. */
const ACCEPT_ALL_MS = 100
/** Stands for the address of a caller that has disconnected before it was read. */
const UNKNOWN_ADDRESS = 'unknown'
/** Interval at which a closing listener looks for unfinished answers. */
const CLOSE_CHECK_MS = 10

export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void

/** A connection that this side closed although its caller could still expect an answer on it. */
export type UnexpectedClose = {
  /** Requests on it without a whole answer. */
  openRequests: number
  /** Time since the end of its last answer. */
  idleMs: number
  /** Time for which its last answer stated that it may stay idle. */
  statedIdleMs: number
  /** The caller took no byte of its answer for the whole time that it has for that. */
  unread: boolean
}

/** What happens to connections so that the process has descriptors left. */
export const RoomEvent = {
  /** An idle connection was closed. */
  IdleClosed: 'idle closed',
  /** A new connection was refused. */
  Refused: 'refused',
  /** A new connection could not be accepted. */
  NotAccepted: 'not accepted'
} as const
export type RoomEvent = (typeof RoomEvent)[keyof typeof RoomEvent]

/** Stands beside the limits on requests: no memory is left for what was read of them. */
export const NO_MEMORY = 'memory'
/** Why a connection isn't read on. */
export type WaitReason = AheadLimit | typeof NO_MEMORY

export type HttpServerOptions = {
  /** Time within which a whole request has to be received; 0: none, the handler limits it. */
  requestTimeoutMs?: number
  /** Overrides the least time after which a caller that takes no byte of its answer is closed. */
  minUnreadMs?: number
  /** Numbers of connections from which on idle ones are closed and new ones refused; without limit unless given. */
  share?: ConnectionShare
  onForRoom?: (event: RoomEvent) => void
  /** Overrides the limits on requests that are read while others of their connection are in progress. */
  ahead?: RequestRoomLimits
  /** Limits what was read of connections and waits for answers before it. */
  memory?: ByteBudget
  /** A connection isn't read on until an answer on it has ended, or is read no more for lack of memory. */
  onWait?: (reason: WaitReason, callerAddress: string) => void
  onUnexpectedClose?: (close: UnexpectedClose) => void
}

type Connection = {
  address: string
  feed: RequestFeed
  /** The request that was read last; undefined before the first one and while the connection is idle. */
  newest: IncomingMessage | undefined
  /** The newest request isn't one that can be served, and its answer closes the connection. */
  isRefused: boolean
  /** The limit at which what was sent ahead waits. */
  waitsAt: AheadLimit | undefined
  /** Requests whose answers haven't ended. */
  openRequests: number
  /** Time for which the connection may stay idle, as its last answer stated; 0 before the first answer. */
  statedIdleMs: number
  /** When its last answer ended, in milliseconds of the monotonic clock. */
  idleSinceMs: number
  /** Checks in a row that saw bytes waiting and none taken. */
  unreadChecks: number
  lastUnreadCheckMs: number
}

export class HttpServer {
  readonly #server: Server
  readonly #connections = new Map<Socket, Connection>()
  readonly #room: ConnectionRoom
  readonly #requestRoom: RequestRoom
  readonly #memory: ByteBudget
  #destroyed = false
  /** Bytes read from connections that have closed. */
  #bytesOfClosed = 0

  private constructor (handler: RequestHandler, private readonly clock: Clock, private readonly options: HttpServerOptions) {
    this.#server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS, requestTimeout: options.requestTimeoutMs ?? 0, requireHostHeader: false })
    this.#requestRoom = RequestRoom.create(options.ahead)
    this.#memory = options.memory ?? ByteBudget.unlimited(ByteKind.Requests)
    this.#room = ConnectionRoom.create(options.share?.share ?? Infinity, () => options.onForRoom?.(RoomEvent.IdleClosed))
    if (options.share !== undefined) this.#server.maxConnections = options.share.most
    this.#server.on('drop', () => options.onForRoom?.(RoomEvent.Refused))
    this.#server.on('error', () => this.#onError())
    this.#server.on('connection', (socket) => this.#track(socket))
    this.#server.on('request', (request, response) => {
      this.#onRequest(request, response)
      if (lacksHost(request)) this.#refuseLast(request.socket, response)
      else handler(request, response)
    })
    this.#server.on('checkExpectation', (request, response) => {
      this.#onRequest(request, response)
      response.writeHead(417).end()
    })
    this.#server.on('timeout', (socket) => this.#onTimeout(socket))
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

  /**
   * Closes the listener once no answer is unfinished, after `maxMs` at the latest, and serves the connections that the kernel has
   * accepted until then. The handler must refuse meanwhile what could not end in time.
   */
  async closeListener (maxMs: number): Promise<void> {
    const endMs = this.clock.monotonicMs() + maxMs
    await this.#untilAnswered(endMs, ({ openRequests }) => openRequests > 0)
    const accepted = await this.#acceptAll(this.clock.monotonicMs() + ACCEPT_ALL_MS)
    // The listener alone: an HTTP server's own method also closes connections whose requests it hasn't read.
    NetServer.prototype.close.call(this.#server)
    for (const serve of accepted) serve()
  }

  /** Closes the connections once all that came on them is read and answered, after `maxMs` at the latest. */
  async closeConnections (maxMs: number): Promise<void> {
    const endMs = this.clock.monotonicMs() + maxMs
    const isBusy = (connection: Connection) => connection.openRequests > 0 || connection.feed.hasRest || this.#isNew(connection)
    do {
      await this.#untilAnswered(endMs, isBusy)
      await untilQuietPoll(() => this.#receivedBytes(), () => this.clock.monotonicMs() >= endMs)
    } while (this.#isAny(isBusy) && this.clock.monotonicMs() < endMs)
    this.destroy()
  }

  /** Closes the listener and all connections at once, whatever is unfinished. */
  destroy (): void {
    this.#destroyed = true
    this.#server.close()
    for (const socket of this.#connections.keys()) socket.destroy()
  }

  get connectionCount (): number {
    return this.#connections.size
  }

  async #untilAnswered (endMs: number, isBusy: (connection: Connection) => boolean): Promise<void> {
    while (this.#isAny(isBusy) && this.clock.monotonicMs() < endMs) await this.clock.sleep(CLOSE_CHECK_MS)
  }

  #isAny (isBusy: (connection: Connection) => boolean): boolean {
    return [...this.#connections.values()].some(isBusy)
  }

  /**
   * Accepts connections until a poll brings none. Each poll accepts one: it stays short as their requests aren't served meanwhile.
   * @returns functions that begin to serve them
   */
  async #acceptAll (endMs: number): Promise<(() => void)[]> {
    const sockets: Socket[] = []
    const listeners = this.#server.listeners('connection')
    this.#server.removeAllListeners('connection').on('connection', (socket: Socket) => sockets.push(socket))
    await untilQuietPoll(() => sockets.length, () => this.clock.monotonicMs() >= endMs)
    this.#server.removeAllListeners('connection')
    for (const listener of listeners) this.#server.on('connection', listener as (socket: Socket) => void)
    return sockets.map((socket) => () => this.#server.emit('connection', socket))
  }

  #receivedBytes (): number {
    return [...this.#connections.keys()].reduce((sum, socket) => sum + socket.bytesRead, this.#bytesOfClosed)
  }

  /** Its first request may be on the way. */
  #isNew ({ statedIdleMs, idleSinceMs }: Connection): boolean {
    return statedIdleMs === 0 && this.clock.monotonicMs() - idleSinceMs < FIRST_REQUEST_MS
  }

  /** A connection that can't be accepted doesn't end the process. An error before it listens is that of `listen`. */
  #onError (): void {
    if (!this.#server.listening) return
    this.options.onForRoom?.(RoomEvent.NotAccepted)
    this.#room.onNoDescriptor()
  }

  #track (socket: Socket): void {
    const connection: Connection = { address: socket.remoteAddress ?? UNKNOWN_ADDRESS, feed: this.#createFeed(socket), newest: undefined, isRefused: false, waitsAt: undefined, openRequests: 0, statedIdleMs: 0, idleSinceMs: this.clock.monotonicMs(), unreadChecks: 0, lastUnreadCheckMs: 0 }
    this.#connections.set(socket, connection)
    this.#room.add(socket)
    socket.once('close', () => this.#onClose(socket))
  }

  #createFeed (socket: Socket): RequestFeed {
    return RequestFeed.create(socket, {
      mayRead: () => this.#mayRead(socket),
      memory: this.#memory,
      onNoRoom: () => this.#onNoRoom(socket)
    })
  }

  #mayRead (socket: Socket): boolean {
    const connection = this.#connections.get(socket)
    if (connection === undefined || connection.isRefused) return false
    const { address, openRequests, newest } = connection
    if (newest?.complete === false) return true
    const limit = this.#requestRoom.limitMet(address, openRequests)
    if (limit !== undefined && connection.waitsAt === undefined) this.options.onWait?.(limit, address)
    connection.waitsAt = limit
    return limit === undefined
  }

  #onNoRoom (socket: Socket): void {
    const connection = this.#connections.get(socket)
    if (connection === undefined) return
    this.options.onWait?.(NO_MEMORY, connection.address)
    if (connection.openRequests === 0) socket.destroySoon()
  }

  /** The limit may change between the head of an answer, which states the idle time, and the answer's end, at which that time begins. */
  #onRequest (request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request
    const connection = this.#connections.get(socket)
    if (connection === undefined) return
    this.#requestRoom.onRead(connection.address, connection.openRequests)
    connection.newest = request
    connection.feed.expectBody(bodyBytes(request))
    connection.openRequests += 1
    this.#room.onBusy(socket)
    connection.statedIdleMs = this.#server.keepAliveTimeout
    connection.unreadChecks = 0
    socket.setTimeout(this.#unreadCheckMs)
    response.once('finish', () => this.#onAnswered(socket, connection, response))
  }

  /** Nothing behind this request is read. */
  #refuseLast (socket: Socket, response: ServerResponse): void {
    const connection = this.#connections.get(socket)
    if (connection !== undefined) connection.isRefused = true
    response.writeHead(400, { Connection: 'close' }).end()
  }

  #onAnswered (socket: Socket, connection: Connection, response: ServerResponse): void {
    connection.openRequests -= 1
    connection.idleSinceMs = this.clock.monotonicMs()
    if (this.#connections.has(socket)) this.#requestRoom.onAnswered(connection.address, connection.openRequests)
    if (connection.openRequests === 0) {
      connection.newest = undefined
      this.#room.onIdle(socket)
    }
    if (!response.shouldKeepAlive || !socket.writable) connection.statedIdleMs = 0
    if (connection.feed.isStopped && connection.openRequests === 0) return socket.destroySoon()
    connection.feed.goOn()
    // A pipelined request is in progress, or the connection closes.
    if (connection.openRequests > 0 || connection.statedIdleMs === 0) return
    socket.setTimeout(Math.max(connection.statedIdleMs, this.#server.keepAliveTimeout) + IDLE_MARGIN_MS)
  }

  /** Time between two checks of whether a caller takes its answer. */
  get #unreadCheckMs (): number {
    return Math.max(this.#server.keepAliveTimeout, this.options.minUnreadMs ?? MIN_UNREAD_MS) / UNREAD_CHECKS
  }

  /** No byte was received and none taken by the caller for the time that was set. */
  #onTimeout (socket: Socket): void {
    const connection = this.#connections.get(socket)
    if (connection === undefined || connection.openRequests === 0) return closeIfIdle(socket)
    socket.setTimeout(this.#unreadCheckMs)
    // The caller has all that there is of its answer.
    if (socket.writableLength === 0) return
    this.#countUnread(connection)
    if (connection.unreadChecks >= UNREAD_CHECKS) socket.destroy()
  }

  #countUnread (connection: Connection): void {
    const nowMs = this.clock.monotonicMs()
    const isInARow = nowMs - connection.lastUnreadCheckMs < this.#unreadCheckMs * IN_A_ROW_FACTOR
    connection.unreadChecks = isInARow ? connection.unreadChecks + 1 : 1
    connection.lastUnreadCheckMs = nowMs
  }

  #onClose (socket: Socket): void {
    const connection = this.#connections.get(socket)
    const isClosedForRoom = this.#room.isClosing(socket)
    this.#connections.delete(socket)
    this.#bytesOfClosed += socket.bytesRead
    this.#room.remove(socket)
    if (connection !== undefined) this.#requestRoom.onClosed(connection.address, connection.openRequests)
    // The caller closed it first, or broke it off.
    const isClosedByCaller = socket.readableEnded || socket.errored !== null
    if (connection === undefined || isClosedByCaller || isClosedForRoom || this.#destroyed) return
    const { openRequests, statedIdleMs, idleSinceMs, unreadChecks, feed } = connection
    // Its last answers were sent, and what it sent ahead of them had no room.
    if (feed.isStopped && openRequests === 0) return
    const idleMs = this.clock.monotonicMs() - idleSinceMs
    if (openRequests > 0 || idleMs < statedIdleMs) this.options.onUnexpectedClose?.({ openRequests, idleMs, statedIdleMs, unread: unreadChecks >= UNREAD_CHECKS })
  }
}

/** HTTP/1.1 requires the header; the answer is the one that Node gives unless told otherwise. */
function lacksHost ({ httpVersion, headers }: IncomingMessage): boolean {
  return httpVersion === '1.1' && headers.host === undefined
}

/** Stated length of the body; 0 where none is stated. */
function bodyBytes ({ headers }: IncomingMessage): number {
  return Number(headers['content-length'] ?? 0)
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
