/** Reads the messages of other hosts within a budget. No byte is kept that isn't counted before. */
import type { IncomingMessage } from 'node:http'
import type { ByteHold } from '../memory/byte-budget.js'
import { ByteCollector } from '../memory/byte-collector.js'

/** How the reading of a message ended. */
export const Reading = {
  Whole: 'whole',
  NoRoom: 'no room',
  TooLarge: 'too large'
} as const
export type Reading = (typeof Reading)[keyof typeof Reading]

/** Collects the pieces of a message; a piece of which it returns another reading than whole is the last one. */
export abstract class MessageCollector {
  abstract push (piece: Buffer): Reading
  /** What arrived. */
  abstract get content (): Buffer[]
}

/** A message whose length isn't stated. */
export class PlainCollector extends MessageCollector {
  readonly #collector: ByteCollector

  private constructor (hold: ByteHold, private readonly maxBytes: number) {
    super()
    this.#collector = ByteCollector.create(hold)
  }

  static create (hold: ByteHold, maxBytes: number): PlainCollector {
    return new PlainCollector(hold, maxBytes)
  }

  override push (piece: Buffer): Reading {
    if (this.#collector.bytes + piece.length > this.maxBytes) return Reading.TooLarge
    return this.#collector.push(piece) ? Reading.Whole : Reading.NoRoom
  }

  override get content (): Buffer[] {
    return this.#collector.blocks()
  }
}

/** Flags, and the length of the message in four bytes. */
const ENVELOPE_HEAD_BYTES = 5
const LENGTH_AT = 1

/** A message that states its length in front: room for all of it is taken, or refused, before it is read. */
export class EnvelopeCollector extends MessageCollector {
  readonly #head = Buffer.alloc(ENVELOPE_HEAD_BYTES)
  #headBytes = 0
  #message: Buffer | undefined
  #messageBytes = 0

  private constructor (private readonly hold: ByteHold, private readonly maxBytes: number) {
    super()
  }

  static create (hold: ByteHold, maxBytes: number): EnvelopeCollector {
    return new EnvelopeCollector(hold, maxBytes)
  }

  override push (piece: Buffer): Reading {
    const headBytes = piece.copy(this.#head, this.#headBytes)
    this.#headBytes += headBytes
    if (this.#headBytes < ENVELOPE_HEAD_BYTES) return Reading.Whole
    if (this.#message === undefined) {
      const reading = this.#begin()
      if (reading !== Reading.Whole) return reading
    }
    const rest = piece.subarray(headBytes)
    if (this.#message === undefined || this.#messageBytes + rest.length > this.#message.length) return Reading.TooLarge
    this.#messageBytes += rest.copy(this.#message, this.#messageBytes)
    return Reading.Whole
  }

  override get content (): Buffer[] {
    const head = this.#head.subarray(0, this.#headBytes)
    return this.#message === undefined ? [head] : [head, this.#message.subarray(0, this.#messageBytes)]
  }

  #begin (): Reading {
    const lengthBytes = this.#head.readUInt32BE(LENGTH_AT)
    if (lengthBytes > this.maxBytes) return Reading.TooLarge
    if (!this.hold.take(lengthBytes)) return Reading.NoRoom
    // Its request may be sent with it, after which it can't be given up.
    this.hold.fix()
    this.#message = Buffer.allocUnsafeSlow(lengthBytes)
    return Reading.Whole
  }
}

/** Reads the message of one request to its end, or until it is too large or has no room. */
export class MessageReader {
  /** Undefined once the message is given up, so that its bytes are freed. */
  #collector: MessageCollector | undefined
  #finish: ((reading: Reading) => void) | undefined

  private constructor (private readonly incoming: IncomingMessage) {}

  static create (incoming: IncomingMessage): MessageReader {
    return new MessageReader(incoming)
  }

  /** Rejects if the connection ends before the message. */
  read (collector: MessageCollector): Promise<Reading> {
    const { incoming } = this
    this.#collector = collector
    return new Promise((resolve, reject) => {
      const onData = (piece: Buffer) => this.#onData(piece)
      this.#finish = (reading) => {
        incoming.off('data', onData)
        this.#finish = undefined
        if (reading !== Reading.Whole) this.#collector = undefined
        resolve(reading)
      }
      incoming.on('data', onData)
      incoming.once('end', () => this.#finish?.(Reading.Whole))
      incoming.once('error', reject)
      incoming.once('close', () => reject(new Error('the connection closed')))
    })
  }

  /** The memory of the message is needed for others. */
  giveUp (): void {
    this.#finish?.(Reading.NoRoom)
  }

  /** Hands out the message; the reader keeps nothing of it. */
  takeContent (): Buffer[] {
    const content = this.#collector?.content ?? []
    this.#collector = undefined
    return content
  }

  #onData (piece: Buffer): void {
    const reading = this.#collector?.push(piece)
    if (reading !== undefined && reading !== Reading.Whole) this.#finish?.(reading)
  }
}
