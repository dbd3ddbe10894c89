/**
 * Limits what is read from one connection in one turn of the event loop, so that a runner that sends as fast as it can doesn't keep
 * the other connections waiting: the system hands over up to two megabytes of one connection at a time, and each piece of a body
 * takes the same work, however small it is.
 */
import type { Readable } from 'node:stream'

/** Pieces of a body in one turn. */
const MAX_PIECES_PER_TURN = 64
/** Bytes in one turn: a few reads of the system, so that large bodies are read at the speed of their link. */
const MAX_BYTES_PER_TURN = 262_144
/** Bytes that are handed over at a time; fewer where the pieces before were small. */
const MAX_READ_BYTES = 65_536
const MIN_READ_BYTES = 1_024
const FIRST_READ_BYTES = 4_096

export class PacedReads {
  #readBytes = FIRST_READ_BYTES
  #lastReadBytes = 0
  #lastReadPieces = 0
  #turnBytes = 0
  #turnPieces = 0
  #endsWithTurn = false
  #waits = false
  #isWithinBody = false

  private constructor (private readonly socket: Readable, private readonly read: (sizeBytes?: number) => Buffer | null) {}

  /** Replaces the method by which the HTTP client reads from the socket. */
  static install (socket: Readable): PacedReads {
    const reads = new PacedReads(socket, socket.read.bind(socket) as (sizeBytes?: number) => Buffer | null)
    socket.read = () => reads.#next()
    return reads
  }

  /** A body begins. Outside of bodies everything is read at once: bytes that belong to no answer have to show before the next request. */
  onBody (): void {
    this.#isWithinBody = true
  }

  onBodyEnded (): void {
    this.#isWithinBody = false
  }

  /** What was read last held a piece of a body. */
  onPiece (): void {
    this.#lastReadPieces += 1
    this.#turnPieces += 1
  }

  #next (): Buffer | null {
    this.#adapt()
    if (this.#isUsedUp) {
      this.#waits = true
      return null
    }
    const available = this.socket.readableLength
    const bytes = available === 0 ? this.read() : this.read(Math.min(available, this.#readBytes))
    if (bytes !== null) this.#count(bytes.length)
    return bytes
  }

  get #isUsedUp (): boolean {
    return this.#isWithinBody && (this.#turnPieces >= MAX_PIECES_PER_TURN || this.#turnBytes >= MAX_BYTES_PER_TURN)
  }

  /** The next read is as large as the pieces of the last one suggest. */
  #adapt (): void {
    if (this.#lastReadBytes === 0) return
    const wantedBytes = this.#lastReadBytes * MAX_PIECES_PER_TURN / Math.max(1, this.#lastReadPieces)
    this.#readBytes = Math.floor(Math.min(MAX_READ_BYTES, Math.max(MIN_READ_BYTES, wantedBytes)))
    this.#lastReadBytes = 0
    this.#lastReadPieces = 0
  }

  #count (bytes: number): void {
    this.#lastReadBytes = bytes
    this.#turnBytes += bytes
    if (this.#endsWithTurn) return
    this.#endsWithTurn = true
    setImmediate(() => this.#onTurnEnded())
  }

  #onTurnEnded (): void {
    this.#endsWithTurn = false
    this.#turnBytes = 0
    this.#turnPieces = 0
    if (!this.#waits) return
    this.#waits = false
    if (!this.socket.destroyed) this.socket.emit('readable')
  }
}
