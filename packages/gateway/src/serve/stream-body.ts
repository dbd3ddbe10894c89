/**
 * Writes the body of a stream in such a way that its caller can tell a whole one from a part: the kernel closes the connection in
 * order when this process ends, so an answer whose end is the end of its connection would look whole.
 */
import type { ServerResponse } from 'node:http'
import type { RawHeaders } from '../forward/types.js'

/** A stream that is collected for its caller must not be larger. */
const MAX_COLLECTED_BYTES = 8 * 1024 * 1024

export abstract class StreamBody {
  /** Callers that know no chunks get the whole stream at its end, with its length. */
  static create (response: ServerResponse): StreamBody {
    return response.useChunkedEncodingByDefault ? new ChunkedBody(response) : new CollectedBody(response)
  }

  /** The body has grown over the limit, and can't be completed. */
  abstract get overlong (): boolean
  abstract start (status: number, headers: RawHeaders): void
  /** Returns false if the runner has to wait for the caller to read. */
  abstract write (bytes: Buffer): boolean
  abstract end (): void
}

class ChunkedBody extends StreamBody {
  constructor (private readonly response: ServerResponse) {
    super()
  }

  override get overlong (): boolean {
    return false
  }

  override start (status: number, headers: RawHeaders): void {
    this.response.writeHead(status, headers)
  }

  override write (bytes: Buffer): boolean {
    return this.response.write(bytes)
  }

  override end (): void {
    this.response.end()
  }
}

class CollectedBody extends StreamBody {
  readonly #events: Buffer[] = []
  #sizeBytes = 0
  #status = 0
  #headers: RawHeaders = []

  constructor (private readonly response: ServerResponse) {
    super()
  }

  override get overlong (): boolean {
    return this.#sizeBytes > MAX_COLLECTED_BYTES
  }

  override start (status: number, headers: RawHeaders): void {
    this.#status = status
    this.#headers = headers
  }

  override write (bytes: Buffer): boolean {
    this.#sizeBytes += bytes.length
    if (!this.overlong) this.#events.push(bytes)
    return true
  }

  override end (): void {
    this.response.writeHead(this.#status, [...this.#headers, 'Content-Length', String(this.#sizeBytes)])
    this.response.end(Buffer.concat(this.#events))
  }
}
