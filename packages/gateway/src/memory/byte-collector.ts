/**
 * Collects the pieces of a body within a budget. Pieces are copied together: each one that arrives may be a few bytes of a large
 * buffer that it would keep in memory.
 */
import type { ByteHold } from './byte-budget.js'

const MAX_BLOCK_BYTES = 65_536

export class ByteCollector {
  readonly #blocks: Buffer[] = []
  /** Bytes of the last block that are in use. */
  #lastBytes = 0
  #bytes = 0

  private constructor (private readonly hold: ByteHold) {}

  static create (hold: ByteHold): ByteCollector {
    return new ByteCollector(hold)
  }

  get bytes (): number {
    return this.#bytes
  }

  /** @returns false if there is no room for the piece; the collector is of no use then */
  push (piece: Buffer): boolean {
    let from = 0
    const last = this.#blocks.at(-1)
    if (last !== undefined) {
      from = piece.copy(last, this.#lastBytes)
      this.#lastBytes += from
    }
    this.#bytes += from
    return from === piece.length || this.#addBlock(piece.subarray(from))
  }

  /** The bytes in order, without copying them again. */
  blocks (): Buffer[] {
    const last = this.#blocks.at(-1)
    return last === undefined ? [] : [...this.#blocks.slice(0, -1), last.subarray(0, this.#lastBytes)]
  }

  /** The bytes as one buffer. */
  whole (): Buffer {
    const blocks = this.blocks()
    return blocks.length === 1 && blocks[0] !== undefined ? blocks[0] : Buffer.concat(blocks)
  }

  /** Blocks grow with the body, so that a small one keeps no more than its size. */
  #addBlock (piece: Buffer): boolean {
    const sizeBytes = Math.max(piece.length, Math.min(this.#bytes, MAX_BLOCK_BYTES))
    if (!this.hold.take(sizeBytes)) return false
    const block = Buffer.allocUnsafeSlow(sizeBytes)
    piece.copy(block)
    this.#blocks.push(block)
    this.#lastBytes = piece.length
    this.#bytes += piece.length
    return true
  }
}
