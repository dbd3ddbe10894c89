/** Splits a body of server-sent events into complete events and reads their ids. */
import type { ByteHold } from '../memory/byte-budget.js'

/** A complete event: where it ends in the bytes of its batch, and its id if it has one. */
export type WholeEvent = { endAt: number, id?: number }

/** Complete events, one behind the other. */
export type EventBatch = { bytes: Buffer, events: WholeEvent[] }

const EMPTY: Buffer = Buffer.alloc(0)
const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const SPACE = 0x20
const COLON = 0x3a
const DIGIT_0 = 0x30
const LETTER_D = 0x64
const LETTER_I = 0x69

/** Events hold a few tokens; a larger one is damaged. */
const MAX_EVENT_BYTES = 1_048_576
/** Bytes at the end of one chunk that may be the start of a blank line, completed by the next chunk. */
const SPLIT_LINE_BYTES = 2

export class EventSplitter {
  /** Buffer whose first `#restBytes` bytes are an event that isn't complete yet. */
  #rest = EMPTY
  #restBytes = 0
  /** There was no room for the incomplete event. */
  #lacksRoom = false

  private constructor (private hold: ByteHold | undefined) {}

  /** @param hold counts what is kept of an incomplete event; it isn't counted if absent */
  static create (hold?: ByteHold): EventSplitter {
    return new EventSplitter(hold)
  }

  /** Adds bytes and returns the events that they complete. Takes time linear in the bytes added, however many are buffered. */
  push (chunk: Buffer): EventBatch {
    const scanFrom = Math.max(0, this.#restBytes - SPLIT_LINE_BYTES)
    const continues = this.#restBytes > 0
    if (continues) this.#append(chunk)
    const bytes = continues ? this.#rest.subarray(0, this.#restBytes) : chunk
    const events = findEvents(bytes, scanFrom)
    const endAt = events.at(-1)?.endAt ?? 0
    const whole = bytes.subarray(0, endAt)
    // Copied, since the buffer is reused while the events may still be queued for their caller.
    const batch = { bytes: continues ? Buffer.from(whole) : whole, events }
    if (!continues || endAt > 0) this.#keep(bytes.subarray(endAt))
    return batch
  }

  /** The incomplete event exceeds the size limit. */
  get overlong (): boolean {
    return this.#restBytes > MAX_EVENT_BYTES
  }

  /** There is no memory left for the incomplete event; some of its bytes are lost. */
  get lacksRoom (): boolean {
    return this.#lacksRoom
  }

  /** Bytes of the event that isn't complete yet. */
  get rest (): Buffer {
    return this.#rest.subarray(0, this.#restBytes)
  }

  /** Discards an incomplete event. @param hold counts what is kept from now on */
  reset (hold?: ByteHold): void {
    this.#resize(0)
    this.#restBytes = 0
    this.#lacksRoom = false
    this.hold = hold
  }

  #keep (bytes: Buffer): void {
    this.#restBytes = this.#resize(bytes.length) ? bytes.copy(this.#rest) : 0
  }

  /** Replaces the buffer by an empty one. @returns false if there is no room for it */
  #resize (sizeBytes: number): boolean {
    this.hold?.giveBack(this.#rest.length)
    const hasRoom = this.hold?.take(sizeBytes) !== false
    if (!hasRoom) this.#lacksRoom = true
    this.#rest = hasRoom && sizeBytes > 0 ? Buffer.allocUnsafeSlow(sizeBytes) : EMPTY
    return hasRoom
  }

  #append (chunk: Buffer): void {
    const needed = this.#restBytes + chunk.length
    if (needed > this.#rest.length) {
      const rest = this.#rest
      if (!this.#resize(Math.max(needed, this.#rest.length * 2))) {
        this.#restBytes = 0
        return
      }
      rest.copy(this.#rest)
    }
    chunk.copy(this.#rest, this.#restBytes)
    this.#restBytes = needed
  }
}

/** @param scanFrom no event ends before this position */
function findEvents (bytes: Buffer, scanFrom: number): WholeEvent[] {
  const events: WholeEvent[] = []
  let start = 0
  for (let endAt = findEnd(bytes, scanFrom); endAt > 0; endAt = findEnd(bytes, start)) {
    events.push({ endAt, id: findId(bytes, start, endAt) })
    start = endAt
  }
  return events
}

/** Position after the blank line that ends the next event, or -1. */
function findEnd (bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(LINE_FEED, start); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const next = bytes[at + 1]
    if (next === LINE_FEED) return at + 2
    if (next === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3
  }
  return -1
}

/** The number in the first line of the event that names one as its id. */
function findId (bytes: Buffer, start: number, endAt: number): number | undefined {
  let lineAt = start
  while (lineAt < endAt) {
    const id = idOfLine(bytes, lineAt)
    if (id !== undefined) return id
    lineAt = bytes.indexOf(LINE_FEED, lineAt) + 1
    if (lineAt === 0) return undefined
  }
  return undefined
}

function idOfLine (bytes: Buffer, lineAt: number): number | undefined {
  if (bytes[lineAt] !== LETTER_I || bytes[lineAt + 1] !== LETTER_D || bytes[lineAt + 2] !== COLON) return undefined
  const from = bytes[lineAt + 3] === SPACE ? lineAt + 4 : lineAt + 3
  let at = from
  let id = 0
  while (isDigit(bytes[at])) {
    id = id * 10 + (bytes[at] ?? 0) - DIGIT_0
    at += 1
  }
  const lineEndAt = bytes[at] === CARRIAGE_RETURN ? at + 1 : at
  return at > from && bytes[lineEndAt] === LINE_FEED ? id : undefined
}

function isDigit (byte: number | undefined): boolean {
  return byte !== undefined && byte >= DIGIT_0 && byte <= DIGIT_0 + 9
}
