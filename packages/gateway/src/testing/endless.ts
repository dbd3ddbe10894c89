/** Writes bytes to a connection until it closes, as fast as they are read and in bounded number. */
import type { Socket } from 'node:net'

const PIECE_BYTES = 65_536
/** Far beyond any bound of a reader, so that a reader without one is seen. */
const MAX_BYTES = 256 * 1_048_576

export class EndlessWriter {
  #bytes = 0
  #closed = false

  private constructor (private readonly socket: Socket, private readonly piece: Buffer) {
    socket.on('close', () => { this.#closed = true })
    socket.on('drain', () => this.#write())
  }

  /** Starts with `text` and goes on with `filler` again and again. */
  static start (socket: Socket, text: string, filler: string): EndlessWriter {
    const writer = new EndlessWriter(socket, Buffer.from(filler.repeat(Math.ceil(PIECE_BYTES / filler.length))))
    socket.write(text)
    writer.#write()
    return writer
  }

  get closed (): boolean {
    return this.#closed
  }

  get bytes (): number {
    return this.#bytes
  }

  #write (): void {
    while (!this.#closed && this.#bytes < MAX_BYTES) {
      this.#bytes += this.piece.length
      if (!this.socket.write(this.piece)) return
    }
  }
}
