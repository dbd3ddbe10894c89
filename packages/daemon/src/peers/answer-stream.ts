import { create } from '@bufbuild/protobuf'
import { ForwardChunkSchema, type ForwardChunk } from '@figloom/protocol'
import type { Failure } from '@figloom/runtime'
import { formatFailure } from '../callers/failure-answer.js'
import { AnswerSink, type HeaderFields } from '../requests/types.js'

type QueuedChunk = { chunk: ForwardChunk, onConsumed: () => void }

/** Answer to a forwarded request, as a stream of chunks; `write` resolves when the peer's connection has consumed the chunk. */
export class AnswerStream extends AnswerSink {
  readonly #queue: QueuedChunk[] = []
  #started = false
  #ended = false
  #bodyBytes = 0
  #notifyReader: (() => void) | undefined

  static create (): AnswerStream {
    return new AnswerStream()
  }

  override get started (): boolean {
    return this.#started
  }

  override writeHead (status: number, headers: HeaderFields): void {
    this.#started = true
    const fields = Object.entries(headers).map(([name, value]) => ({ name, value }))
    this.#push({ case: 'head', value: { status, headers: fields } })
  }

  override write (bytes: Uint8Array | string): Promise<void> {
    const body = typeof bytes === 'string' ? Buffer.from(bytes) : bytes
    this.#bodyBytes += body.length
    return this.#push({ case: 'body', value: body })
  }

  override end (): void {
    this.#finish(0)
  }

  override fail (failure: Failure): void {
    if (this.#ended) return
    if (!this.#started) {
      const { status, headers, body } = formatFailure(failure)
      this.writeHead(status, headers)
      this.write(body)
      return this.#finish(0)
    }
    // The host that the caller is connected to turns the result code into the end of the caller's answer.
    this.#finish(failure.code.code)
  }

  /** Yields the chunks in order; ends after the end chunk or when `signal` aborts. */
  async * chunks (signal: AbortSignal): AsyncGenerator<ForwardChunk> {
    signal.addEventListener('abort', () => this.#notifyReader?.(), { once: true })
    for (;;) {
      const next = this.#queue.shift()
      if (next !== undefined) {
        yield next.chunk
        next.onConsumed()
        continue
      }
      if (this.#ended || signal.aborted) return this.#releaseWriters()
      await new Promise<void>((resolve) => { this.#notifyReader = resolve })
    }
  }

  #finish (resultCode: number): void {
    if (this.#ended) return
    this.#push({ case: 'end', value: { resultCode, bodyBytes: BigInt(this.#bodyBytes) } })
    this.#ended = true
  }

  #push (part: Parameters<typeof createChunk>[0]): Promise<void> {
    if (this.#ended) return Promise.resolve()
    return new Promise((resolve) => {
      this.#queue.push({ chunk: createChunk(part), onConsumed: resolve })
      this.#notifyReader?.()
    })
  }

  #releaseWriters (): void {
    for (const { onConsumed } of this.#queue.splice(0)) onConsumed()
  }
}

function createChunk (part: NonNullable<Parameters<typeof create<typeof ForwardChunkSchema>>[1]>['part']): ForwardChunk {
  return create(ForwardChunkSchema, { part } as Parameters<typeof create<typeof ForwardChunkSchema>>[1])
}
