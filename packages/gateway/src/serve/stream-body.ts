/**
 * Writes the body of a stream in such a way that its caller can tell a whole one from a part: the kernel closes the connection in
 * order when this process ends, so an answer whose end is the end of its connection would look whole.
 */
import type { ServerResponse } from 'node:http'
import type { RawHeaders } from '../forward/types.js'
import { onceOver } from '../front/answer-over.js'
import type { ByteBudget, ByteHold } from '../memory/byte-budget.js'
import { ByteCollector } from '../memory/byte-collector.js'

/** Owner of what streams keep for their callers: the largest of them gives way. */
const OWNER = 'streams'
/** A stream that is collected for its caller must not be larger. */
const MAX_COLLECTED_BYTES = 8 * 1024 * 1024

export abstract class StreamBody {
  /** Callers that know no chunks get the whole stream at its end, with its length. */
  static create (response: ServerResponse, memory: ByteBudget): StreamBody {
    return response.useChunkedEncodingByDefault ? new ChunkedBody(response, memory) : new CollectedBody(response, memory)
  }

  /** The body has grown over the limit, or no memory is left for it: it can't be completed. */
  abstract get overlong (): boolean
  abstract start (status: number, headers: RawHeaders): void
  /** Returns false if the runner has to wait for the caller to read. */
  abstract write (bytes: Buffer): boolean
  abstract end (): void
}

/** What is written in one turn of the event loop goes to the caller as one chunk: a runner may send each event on its own. */
class ChunkedBody extends StreamBody {
  #unwritten: Buffer[] = []
  readonly #hold: ByteHold

  constructor (private readonly response: ServerResponse, memory: ByteBudget) {
    super()
    this.#hold = memory.open(OWNER, () => response.destroy())
    response.on('drain', () => this.#hold.giveBack(this.#hold.bytes))
    onceOver(response, () => this.#hold.close())
  }

  override get overlong (): boolean {
    return false
  }

  override start (status: number, headers: RawHeaders): void {
    this.response.writeHead(status, headers)
  }

  override write (bytes: Buffer): boolean {
    if (this.#unwritten.length === 0) process.nextTick(() => this.#flush())
    this.#unwritten.push(bytes)
    return !this.response.writableNeedDrain
  }

  override end (): void {
    this.#flush()
    this.response.end()
  }

  #flush (): void {
    if (this.#unwritten.length === 0) return
    const [first] = this.#unwritten
    const bytes = this.#unwritten.length === 1 && first !== undefined ? first : Buffer.concat(this.#unwritten)
    this.#unwritten = []
    if (!this.response.destroyed && !this.response.write(bytes)) this.#countUnread()
  }

  /** A stream that its caller doesn't read is broken off where no memory is left for it. */
  #countUnread (): void {
    if (!this.#hold.take(Math.max(0, this.response.writableLength - this.#hold.bytes))) this.response.destroy()
  }
}

class CollectedBody extends StreamBody {
  readonly #hold: ByteHold
  /** Undefined once the body can't be completed. */
  #events: ByteCollector | undefined
  #status = 0
  #headers: RawHeaders = []

  constructor (private readonly response: ServerResponse, memory: ByteBudget) {
    super()
    this.#hold = memory.open(OWNER, () => this.#discard())
    this.#events = ByteCollector.create(this.#hold)
    onceOver(response, () => this.#discard())
  }

  override get overlong (): boolean {
    return this.#events === undefined
  }

  override start (status: number, headers: RawHeaders): void {
    this.#status = status
    this.#headers = headers
  }

  override write (bytes: Buffer): boolean {
    if (this.#events === undefined) return true
    const hasRoom = this.#events.push(bytes)
    if (!hasRoom || this.#events.bytes > MAX_COLLECTED_BYTES) this.#discard()
    return true
  }

  override end (): void {
    if (this.#events === undefined) return
    this.#hold.settle(() => this.response.destroy())
    const { bytes } = this.#events
    this.response.writeHead(this.#status, [...this.#headers, 'Content-Length', String(bytes)])
    this.response.end(this.#events.whole())
  }

  #discard (): void {
    this.#events = undefined
    this.#hold.close()
  }
}
