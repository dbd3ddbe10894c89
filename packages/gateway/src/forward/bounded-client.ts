/**
 * One connection to a runner that closes when the runner sends bytes that make no progress: a head, an interim answer, a reason,
 * a chunk line or a trailer without end, or bytes behind the end of an answer. The library bounds some of them, and reports none
 * of the others. The bodies of answers are bounded by whoever reads them.
 */
import type { Socket } from 'node:net'
import { Client, type buildConnector, type Dispatcher } from 'undici'

/** Bytes that a runner may send without a final head, a piece of a body or an end: a head, and twice what a socket buffers while its reader pauses. */
const MAX_BYTES_WITHOUT_PROGRESS = 262_144
/** Heads below this status are interim answers. */
const FIRST_FINAL_STATUS = 200

export type BoundedClientOptions = Client.Options & { connect: buildConnector.connector }

export class BoundedClient extends Client {
  #socket: Socket | undefined
  /** Bytes that had come when the answer last made progress. */
  #progressBytes = 0

  private constructor (origin: URL, options: BoundedClientOptions, private readonly onOverlong: (reason: string) => void) {
    super(origin, { ...options, connect: (target, callback) => this.#connect(options.connect, target, callback) })
  }

  static create (origin: URL, options: BoundedClientOptions, onOverlong: (reason: string) => void): BoundedClient {
    return new BoundedClient(origin, options, onOverlong)
  }

  override dispatch (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    return super.dispatch(options, this.#follow(handler))
  }

  #connect (connect: buildConnector.connector, target: buildConnector.Options, callback: buildConnector.Callback): void {
    connect(target, (...[error, socket]: buildConnector.CallbackArgs) => {
      if (error !== null || socket === null) return callback(error ?? new Error('no connection'), null)
      this.#watch(socket)
      callback(null, socket)
    })
  }

  #watch (socket: Socket): void {
    this.#socket = socket
    this.#progressBytes = 0
    socket.prependListener('readable', () => {
      if (socket.bytesRead - this.#progressBytes <= MAX_BYTES_WITHOUT_PROGRESS || socket.destroyed) return
      this.onOverlong('bytes that are no answer')
      socket.destroy(new Error('the runner sends bytes that are no answer'))
    })
  }

  #onProgress (): void {
    this.#progressBytes = this.#socket?.bytesRead ?? 0
  }

  #follow (handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
    return {
      onConnect: (abort) => handler.onConnect?.(abort),
      onHeaders: (status, headers, resume, reason) => {
        if (status >= FIRST_FINAL_STATUS) this.#onProgress()
        return handler.onHeaders?.(status, headers, resume, reason) ?? true
      },
      onData: (chunk) => {
        this.#onProgress()
        return handler.onData?.(chunk) ?? true
      },
      onComplete: (trailers) => {
        this.#onProgress()
        handler.onComplete?.(trailers)
      },
      onError: (error) => handler.onError?.(error)
    }
  }
}
