/** Writes to a connection until it closes, as fast as the peer reads, up to a maximum number of bytes. */
import type { Socket } from 'node:net'

const CHUNK_BYTES = 65_536
/** Far above the limit of any reader under test, so that a reader without a limit is detected. */
const MAX_BYTES = 256 * 1_048_576

export class EndlessWriter {
  #bytes = 0
  #closed = false

  private constructor (private readonly socket: Socket, private readonly chunk: Buffer) {
    socket.on('close', () => { this.#closed = true })
    socket.on('drain', () => this.#write())
  }

  /** Writes `text` once, then `filler` repeatedly. */
  static start (socket: Socket, text: string, filler: string): EndlessWriter {
    const writer = new EndlessWriter(socket, Buffer.from(filler.repeat(Math.ceil(CHUNK_BYTES / filler.length))))
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
      this.#bytes += this.chunk.length
      if (!this.socket.write(this.chunk)) return
    }
  }
}
