/**
 * Passes what a connection receives to the HTTP parser one request at a time, as the parser turns all requests of one read into
 * objects at once. While no further request may be read, the rest of the last read waits here and the connection isn't read.
 */
import type { Socket } from 'node:net'
import type { ByteBudget, ByteHold } from '../memory/byte-budget.js'

const NOTHING = Buffer.alloc(0)
/** Ends the head of a request, the only place behind which another request can begin without a body. */
const HEAD_END = '\r\n\r\n'
/** Pieces that one connection may pass on in one turn of the event loop, so that the others have their turn. */
const PIECES_A_TURN = 32
/** Owner of what is kept for callers that have disconnected before their address was read. */
const UNKNOWN_ADDRESS = 'unknown'

export type RequestFeedOptions = {
  /** Whether a further request may be read, or the one that is being read continued. */
  mayRead: () => boolean
  /** There is no memory left for what was read and may not be parsed; it is dropped, and the connection is read no more. */
  onNoRoom: () => void
  /** Limits what waits of all connections; the owner is the caller's address. */
  memory: ByteBudget
}

type Parse = (chunk: Buffer) => void

export class RequestFeed {
  #rest: Buffer = NOTHING
  /** The last characters that were passed on of a head whose end has not been received. */
  #headTail = ''
  /** Bytes of the body that is being read. */
  #bodyLeftBytes = 0
  /** Counts the rest while it waits. */
  #hold: ByteHold | undefined
  #isFeeding = false
  /** The parser or the reader of a body has paused the connection, and resumes it. */
  #isPausedByReader = false
  #isStopped = false

  private constructor (private readonly socket: Socket, private readonly parse: Parse, private readonly options: RequestFeedOptions) {}

  /** Takes the place of the parser as the listener of a connection that an HTTP server has just received. */
  static create (socket: Socket, options: RequestFeedOptions): RequestFeed {
    const [parse] = socket.listeners('data') as Parse[]
    if (parse === undefined) throw new Error('the HTTP server does not listen for the data of its connection')
    const feed = new RequestFeed(socket, parse, options)
    socket.off('data', parse)
    socket.on('data', (chunk) => feed.#onData(chunk))
    socket.on('resume', () => feed.#onResume())
    socket.once('close', () => feed.#drop())
    return feed
  }

  /** Some of what was read waits. */
  get hasRest (): boolean {
    return this.#rest.length > 0
  }

  /** Nothing more is read from the connection. */
  get isStopped (): boolean {
    return this.#isStopped
  }

  /** The parser has read the head of a request whose body has this length. */
  expectBody (bytes: number): void {
    this.#bodyLeftBytes = bytes
  }

  /** Must be called when `mayRead` may have become true. */
  goOn (): void {
    if (this.#isFeeding || this.#isPausedByReader || !this.hasRest || !this.#mayPassOn()) return
    // Passes on once the connection has resumed, as the parser may pause it again.
    this.socket.resume()
  }

  #onData (chunk: Buffer): void {
    if (this.#isStopped) return
    this.#rest = this.hasRest ? Buffer.concat([this.#rest, chunk]) : chunk
    if (!this.#isFeeding) this.#feed()
  }

  /** Readers of bodies resume the connection also while requests wait. */
  #onResume (): void {
    if (this.#isFeeding || this.socket.isPaused()) return
    this.#isPausedByReader = false
    if (this.#isStopped) this.socket.pause()
    else if (this.hasRest) this.#feed()
  }

  #feed (): void {
    this.#isFeeding = true
    try {
      this.#passOn()
    } finally {
      this.#isFeeding = false
    }
    if (this.hasRest) this.#wait()
    else this.#release()
  }

  #passOn (): void {
    for (let pieces = 0; this.hasRest && this.#mayPassOn(); pieces += 1) {
      if (pieces === PIECES_A_TURN) {
        setImmediate(() => this.goOn())
        return
      }
      this.parse(this.#takePiece())
      this.#isPausedByReader = this.socket.isPaused()
    }
  }

  /** A part of a body, or bytes up to the end of a head: one request at most ends there. */
  #takePiece (): Buffer {
    if (this.#bodyLeftBytes === 0) return this.#takeHead()
    const piece = this.#take(this.#bodyLeftBytes)
    this.#bodyLeftBytes -= piece.length
    return piece
  }

  #takeHead (): Buffer {
    const length = headLength(this.#headTail, this.#rest)
    const piece = this.#take(length ?? this.#rest.length)
    this.#headTail = length === undefined ? (this.#headTail + lastChars(piece)).slice(1 - HEAD_END.length) : ''
    return piece
  }

  #take (bytes: number): Buffer {
    const piece = this.#rest.subarray(0, bytes)
    // An empty part would keep the memory of the whole read.
    this.#rest = bytes >= this.#rest.length ? NOTHING : this.#rest.subarray(bytes)
    return piece
  }

  #mayPassOn (): boolean {
    // An answer that closes its connection is the last one.
    return !this.#isPausedByReader && !this.#isStopped && this.socket.writable && this.options.mayRead()
  }

  #wait (): void {
    if (!this.socket.writable) return this.#drop()
    this.socket.pause()
    this.#hold ??= this.options.memory.open(this.socket.remoteAddress ?? UNKNOWN_ADDRESS, () => this.#stop())
    const growth = this.#rest.length - this.#hold.bytes
    if (growth < 0) this.#hold.giveBack(-growth)
    else if (!this.#hold.take(growth)) this.#stop()
  }

  #stop (): void {
    if (this.#isStopped) return
    this.#isStopped = true
    this.#drop()
    this.socket.pause()
    this.options.onNoRoom()
  }

  #drop (): void {
    this.#rest = NOTHING
    this.#release()
  }

  #release (): void {
    this.#hold?.close()
    this.#hold = undefined
  }
}

/** Length up to the end of the first head, which may have begun in what came before; undefined: none ends here. */
function headLength (before: string, bytes: Buffer): number | undefined {
  for (let begun = before.length; begun > 0; begun -= 1) {
    const left = HEAD_END.length - begun
    if (before.slice(-begun) + bytes.toString('latin1', 0, left) === HEAD_END) return left
  }
  const at = bytes.indexOf(HEAD_END)
  return at < 0 ? undefined : at + HEAD_END.length
}

function lastChars (bytes: Buffer): string {
  return bytes.toString('latin1', Math.max(0, bytes.length - HEAD_END.length + 1))
}
