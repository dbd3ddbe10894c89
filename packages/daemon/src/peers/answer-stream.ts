import { create } from '@bufbuild/protobuf'
import { ForwardChunkSchema, type ForwardChunk } from '@figloom/protocol'
import type { Failure } from '@figloom/runtime'
import { formatFailure } from '../callers/failure-answer.js'
import { AnswerSink, type HeaderFields } from '../requests/types.js'

type Queued = { chunk: ForwardChunk, taken: () => void }

/** An answer as the chunks of a forward: `write` resolves when the peer's connection has taken the chunk. */
export class AnswerStream extends AnswerSink {
  readonly #queue: Queued[] = []
  #started = false
  #ended = false
  #bodyBytes = 0
  #wake: (() => void) | undefined

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
    // The host that the caller is connected to writes the visible end, by the code.
    this.#finish(failure.code.code)
  }

  /** Chunks in order; ends after the end chunk or when `signal` aborts. */
  async * chunks (signal: AbortSignal): AsyncGenerator<ForwardChunk> {
    signal.addEventListener('abort', () => this.#wake?.(), { once: true })
    for (;;) {
      const next = this.#queue.shift()
      if (next !== undefined) {
        yield next.chunk
        next.taken()
        continue
      }
      if (this.#ended || signal.aborted) return this.#releaseWriters()
      await new Promise<void>((resolve) => { this.#wake = resolve })
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
      this.#queue.push({ chunk: createChunk(part), taken: resolve })
      this.#wake?.()
    })
  }

  #releaseWriters (): void {
    for (const { taken } of this.#queue.splice(0)) taken()
  }
}

function createChunk (part: NonNullable<Parameters<typeof create<typeof ForwardChunkSchema>>[1]>['part']): ForwardChunk {
  return create(ForwardChunkSchema, { part } as Parameters<typeof create<typeof ForwardChunkSchema>>[1])
}
