/** The parts of an answer on their way to another host. */
import { create } from '@bufbuild/protobuf'
import { PassOnPartSchema, type PassOnPart } from '@figloom/protocol'
import type { FailureStage } from '../forward/attempt.js'
import type { RawHeaders } from '../forward/types.js'
import { MAX_CHUNK_BYTES, MAX_QUEUED_BYTES } from './limits.js'
import { toStageMessage } from './stages.js'

export class PartQueue {
  readonly #parts: PassOnPart[] = []
  #bytes = 0
  #ended = false
  #wake: (() => void) | undefined

  /** @param onDrained called when the bytes that waited have been taken */
  private constructor (private readonly onDrained: () => void) {}

  static create (onDrained: () => void): PartQueue {
    return new PartQueue(onDrained)
  }

  /** More bytes wait than should. */
  get isFull (): boolean {
    return this.#bytes >= MAX_QUEUED_BYTES
  }

  pushHead (status: number, headers: RawHeaders): void {
    this.#push(create(PassOnPartSchema, { part: { case: 'head', value: { status, headers } } }))
  }

  pushData (chunk: Buffer): void {
    for (let at = 0; at < chunk.length; at += MAX_CHUNK_BYTES) {
      const value = chunk.subarray(at, at + MAX_CHUNK_BYTES)
      this.#bytes += value.length
      this.#push(create(PassOnPartSchema, { part: { case: 'data', value } }))
    }
  }

  pushEnd (): void {
    this.#push(create(PassOnPartSchema, { part: { case: 'end', value: {} } }))
    this.close()
  }

  pushFailure (stage: FailureStage, reason: string): void {
    this.#push(create(PassOnPartSchema, { part: { case: 'failure', value: { stage: toStageMessage(stage), reason } } }))
    this.close()
  }

  /** No further parts are added; those that wait can still be read. */
  close (): void {
    this.#ended = true
    this.#wake?.()
  }

  /** Discards the parts that wait: the other host no longer reads. */
  discard (): void {
    this.#parts.length = 0
    this.close()
  }

  /** Each part is taken once the connection has room for it. */
  async * read (): AsyncGenerator<PassOnPart> {
    for (;;) {
      const part = this.#parts.shift()
      if (part !== undefined) {
        yield part
        this.#onTaken(part)
        continue
      }
      if (this.#ended) return
      await new Promise<void>((resolve) => { this.#wake = resolve })
    }
  }

  #onTaken ({ part }: PassOnPart): void {
    if (part.case !== 'data') return
    const wasFull = this.isFull
    this.#bytes -= part.value.length
    if (wasFull && !this.isFull) this.onDrained()
  }

  #push (part: PassOnPart): void {
    if (this.#ended) return
    this.#parts.push(part)
    this.#wake?.()
  }
}
