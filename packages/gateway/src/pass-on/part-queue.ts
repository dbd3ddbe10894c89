/**
 * The parts of an answer on their way to another host. What waits is counted against a budget; where that has no room left, reading
 * from the runner pauses until the other host has read what waits for it.
 */
import { create } from '@bufbuild/protobuf'
import { PassOnPartSchema, type PassOnPart } from '@figloom/protocol'
import type { FailureStage } from '../forward/attempt.js'
import type { RawHeaders } from '../forward/types.js'
import { FREE_BYTES, type ByteHold } from '../memory/byte-budget.js'
import { MAX_CHUNK_BYTES, MAX_QUEUED_BYTES } from './limits.js'
import { failurePart } from './refusal.js'

/** The last part that waits: a buffer that isn't filled yet. */
type Tail = { part: PassOnPart, block: Buffer, usedBytes: number }

export class PartQueue {
  readonly #parts: PassOnPart[] = []
  #tail: Tail | undefined
  #isPaused = false
  #ended = false
  #wake: (() => void) | undefined

  /** @param onDrained called when the bytes that waited have been taken */
  private constructor (private readonly hold: ByteHold, private readonly onDrained: () => void) {}

  /** @param hold counts what waits; it never gives way, as a part of an answer can't be left out */
  static create (hold: ByteHold, onDrained: () => void): PartQueue {
    hold.fix()
    return new PartQueue(hold, onDrained)
  }

  pushHead (status: number, headers: RawHeaders): void {
    this.#push(create(PassOnPartSchema, { part: { case: 'head', value: { status, headers } } }))
  }

  /** @returns false if the runner has to wait until `onDrained` */
  pushData (chunk: Buffer): boolean {
    if (this.#ended) return true
    if (isMostOfItsBuffer(chunk)) this.#addPart(chunk, chunk)
    else this.#copy(chunk)
    this.#wake?.()
    this.#isPaused = this.#isFull
    return !this.#isPaused
  }

  pushEnd (): void {
    this.#push(create(PassOnPartSchema, { part: { case: 'end', value: {} } }))
    this.close()
  }

  pushFailure (stage: FailureStage, reason: string): void {
    this.#push(failurePart(stage, reason))
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
    this.#tail = undefined
    this.hold.close()
    this.close()
  }

  /** Each part is taken once the connection has room for it. */
  async * read (): AsyncGenerator<PassOnPart> {
    for (;;) {
      const part = this.#parts.shift()
      if (part !== undefined) {
        if (part === this.#tail?.part) this.#tail = undefined
        yield part
        this.#onTaken(part)
        continue
      }
      if (this.#ended) return
      await new Promise<void>((resolve) => { this.#wake = resolve })
    }
  }

  /** More bytes wait than should. */
  get #isFull (): boolean {
    return this.hold.bytes >= MAX_QUEUED_BYTES || this.hold.isFull
  }

  #onTaken ({ part }: PassOnPart): void {
    if (part.case !== 'data') return
    // A part has a buffer of its own, which may be larger than the bytes in it.
    this.hold.giveBack(part.value.buffer.byteLength)
    if (!this.#isPaused || this.#isFull) return
    this.#isPaused = false
    this.onDrained()
  }

  /** Adds to the last part that waits, so that tiny chunks don't become a part each. @returns the bytes that fitted */
  #fillTail (chunk: Buffer): number {
    const tail = this.#tail
    if (tail === undefined) return 0
    const bytes = chunk.copy(tail.block, tail.usedBytes)
    tail.usedBytes += bytes
    tail.part.part = { case: 'data', value: tail.block.subarray(0, tail.usedBytes) }
    return bytes
  }

  /** Copies, since a chunk may be a few bytes of a large buffer. */
  #copy (chunk: Buffer): void {
    let at = this.#fillTail(chunk)
    while (at < chunk.length) at += this.#addBlock(chunk.subarray(at))
  }

  /** Blocks grow with what waits. @returns the bytes that were added */
  #addBlock (chunk: Buffer): number {
    const block = Buffer.allocUnsafeSlow(Math.min(MAX_CHUNK_BYTES, Math.max(chunk.length, this.hold.bytes)))
    const usedBytes = chunk.copy(block)
    this.#tail = { part: this.#addPart(block.subarray(0, usedBytes), block), block, usedBytes }
    return usedBytes
  }

  #addPart (value: Buffer, { buffer }: Buffer): PassOnPart {
    this.hold.add(buffer.byteLength)
    this.#tail = undefined
    const part = create(PassOnPartSchema, { part: { case: 'data', value } })
    this.#parts.push(part)
    return part
  }

  #push (part: PassOnPart): void {
    if (this.#ended) return
    this.#tail = undefined
    this.#parts.push(part)
    this.#wake?.()
  }
}

/** Whether little else is kept with the chunk, so that it needn't be copied. */
function isMostOfItsBuffer ({ length, buffer }: Buffer): boolean {
  return length <= MAX_CHUNK_BYTES && length * 2 >= buffer.byteLength && length >= FREE_BYTES
}
