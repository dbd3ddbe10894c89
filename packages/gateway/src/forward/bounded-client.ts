/**
 * A connection to a runner that is closed when the runner keeps sending bytes without progress in an answer: endless headers,
 * interim answers, reason phrases, chunk lines or trailers, or bytes after the end of an answer. The HTTP client limits only
 * some of these, and doesn't report the others. The size of bodies is limited by the code that reads them.
 * An answer without a length, which ends with its connection, fails if the connection was reset.
 */
import type { Socket } from 'node:net'
import { Client, type buildConnector, type Dispatcher } from 'undici'
import { createResetError, wasReset } from './connection-reset.js'
import { allowsBody, isFramed } from './framing.js'
import { HeadLines } from './head-lines.js'

/**
 * Bytes that a runner may send without a final head, a chunk of a body or the end of an answer. Leaves room for one head and twice
 * what a socket buffers while its reader is paused.
 */
const MAX_BYTES_WITHOUT_PROGRESS = 262_144
/** Refused ids that are remembered for each connection; a caller that was refused comes back within seconds. */
const MAX_REFUSED_IDS = 64
/** Lower status codes belong to interim answers. */
const FIRST_FINAL_STATUS = 200

export type BoundedClientOptions = Client.Options & { connect: buildConnector.connector }

/** A request with what its connection has to know about it. */
export type IdentifiedRequest = Dispatcher.DispatchOptions & {
  requestId?: string
  /** Whether the head of its answer was a refusal. */
  wasRefused?: () => boolean
}

export class BoundedClient extends Client {
  #socket: Socket | undefined
  /** Bytes received on the socket when the answer last made progress. */
  #progressBytes = 0
  readonly #headLines = HeadLines.create()
  /** Ids of requests that were refused on the connection. */
  readonly #refusedIds = new Set<string>()
  /** Resumes the answer in progress if it is paused. */
  #resume: (() => void) | undefined
  /** The runner has ended the connection, and all its bytes have been read. */
  #hasEnded = false

  private constructor (origin: URL, options: BoundedClientOptions, private readonly onOverlong: (reason: string) => void) {
    super(origin, { ...options, connect: (target, callback) => this.#connect(options.connect, target, callback) })
  }

  static create (origin: URL, options: BoundedClientOptions, onOverlong: (reason: string) => void): BoundedClient {
    return new BoundedClient(origin, options, onOverlong)
  }

  override dispatch (options: IdentifiedRequest, handler: Dispatcher.DispatchHandler): boolean {
    this.#leaveIfRefusedHere(options)
    return super.dispatch(options, this.#trackProgress(options, handler))
  }

  /** A runner may write a refusal once more, where the next answer is due: for the same id it would pass for that answer. */
  #leaveIfRefusedHere ({ requestId }: IdentifiedRequest): void {
    if (requestId !== undefined && this.#refusedIds.has(requestId)) this.#socket?.destroy()
  }

  #onRefused (requestId: string): void {
    this.#refusedIds.add(requestId)
    const [oldest] = this.#refusedIds
    if (oldest !== undefined && this.#refusedIds.size > MAX_REFUSED_IDS) this.#refusedIds.delete(oldest)
  }

  #connect (connect: buildConnector.connector, target: buildConnector.Options, callback: buildConnector.Callback): void {
    connect(target, (...[error, socket]: buildConnector.CallbackArgs) => {
      if (error !== null || socket === null) return callback(error ?? new Error('no connection'), null)
      this.#limitUnexpectedBytes(socket)
      this.#resumeAtEnd(socket)
      callback(null, socket)
    })
  }

  #limitUnexpectedBytes (socket: Socket): void {
    this.#socket = socket
    this.#progressBytes = 0
    this.#refusedIds.clear()
    this.#headLines.reset()
    this.#countHeadLines(socket)
    socket.prependListener('readable', () => {
      if (socket.bytesRead - this.#progressBytes > MAX_BYTES_WITHOUT_PROGRESS) this.#close(socket, 'bytes that are not part of an answer')
    })
  }

  /** Looks at what the HTTP client reads before it does. */
  #countHeadLines (socket: Socket): void {
    const read = socket.read.bind(socket) as (sizeBytes?: number) => Buffer | null
    socket.read = (sizeBytes?: number) => {
      const bytes = read(sizeBytes)
      if (bytes === null || this.#headLines.push(bytes)) return bytes
      this.#close(socket, 'a head of too many lines')
      return null
    }
  }

  #close (socket: Socket, reason: string): void {
    if (socket.destroyed) return
    this.onOverlong(reason)
    socket.destroy(new Error(`the runner sends ${reason}`))
  }

  /** The HTTP client can't end an answer that is paused: it throws. At the end of the connection nothing is left to wait for. */
  #resumeAtEnd (socket: Socket): void {
    this.#resume = undefined
    this.#hasEnded = false
    socket.prependListener('end', () => {
      this.#hasEnded = true
      this.#resume?.()
    })
  }

  #onProgress (): void {
    this.#progressBytes = this.#socket?.bytesRead ?? 0
  }

  #wasReset (): boolean {
    return this.#socket === undefined || wasReset(this.#socket)
  }

  #trackProgress ({ method, requestId, wasRefused }: IdentifiedRequest, handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
    let endsWithConnection = false
    return {
      onConnect: (abort) => handler.onConnect?.(abort),
      onHeaders: (status, headers, resume, reason) => {
        if (status >= FIRST_FINAL_STATUS) this.#onProgress()
        this.#resume = resume
        endsWithConnection = method !== 'HEAD' && allowsBody(status) && !isFramed(namesOf(headers))
        const goesOn = handler.onHeaders?.(status, headers, resume, reason) ?? true
        if (requestId !== undefined && wasRefused?.() === true) this.#onRefused(requestId)
        return goesOn
      },
      onData: (chunk) => {
        this.#onProgress()
        // The client calls this once more, without bytes, when it resumes.
        return (handler.onData?.(chunk) ?? true) || this.#hasEnded
      },
      onComplete: (trailers) => {
        this.#onProgress()
        this.#headLines.reset()
        if (endsWithConnection && this.#wasReset()) handler.onError?.(createResetError())
        else handler.onComplete?.(trailers)
      },
      onError: (error) => handler.onError?.(error)
    }
  }
}

/** @param headers names and values in turn */
function namesOf (headers: readonly Buffer[]): string[] {
  return headers.filter((_, index) => index % 2 === 0).map((name) => name.toString('latin1'))
}
