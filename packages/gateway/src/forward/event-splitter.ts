/** Cuts a body of server-sent events into whole events and reads their ids. */

/** A whole event: its bytes and its id, if it has one. */
export type WholeEvent = { bytes: Buffer, id?: number }

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_LINE = /^id: ?(\d+)\r?$/m

/** Events are a few tokens; a larger one is damaged. */
const MAX_EVENT_BYTES = 1_048_576
/** Bytes of a blank line that may stand before a cut. */
const SPLIT_LINE_BYTES = 2

export class EventSplitter {
  /** Holds an event that isn't whole yet in its first `#restBytes`. */
  #rest: Buffer = Buffer.alloc(0)
  #restBytes = 0

  private constructor () {}

  static create (): EventSplitter {
    return new EventSplitter()
  }

  /** Adds bytes and returns the events that became whole. Takes time in proportion to the bytes added, whatever came before. */
  push (chunk: Buffer): WholeEvent[] {
    const scanFrom = Math.max(0, this.#restBytes - SPLIT_LINE_BYTES)
    const continues = this.#restBytes > 0
    if (continues) this.#append(chunk)
    const bytes = continues ? this.#rest.subarray(0, this.#restBytes) : chunk
    const events: WholeEvent[] = []
    let start = 0
    for (let end = findEnd(bytes, scanFrom); end > 0; end = findEnd(bytes, start)) {
      // The buffer is written again while the event may still wait for its caller.
      events.push(toEvent(continues ? Buffer.from(bytes.subarray(start, end)) : bytes.subarray(start, end)))
      start = end
    }
    if (!continues || start > 0) this.#keep(bytes.subarray(start))
    return events
  }

  /** The event that isn't whole yet is longer than any sound one. */
  get overlong (): boolean {
    return this.#restBytes > MAX_EVENT_BYTES
  }

  /** Bytes of an event that isn't whole yet. */
  get rest (): Buffer {
    return this.#rest.subarray(0, this.#restBytes)
  }

  /** Forgets an event that its runner left unfinished. */
  reset (): void {
    this.#rest = Buffer.alloc(0)
    this.#restBytes = 0
  }

  #keep (bytes: Buffer): void {
    const kept = Buffer.from(bytes)
    this.#rest = kept
    this.#restBytes = kept.length
  }

  #append (chunk: Buffer): void {
    const needed = this.#restBytes + chunk.length
    if (needed > this.#rest.length) {
      const grown = Buffer.alloc(Math.max(needed, this.#rest.length * 2))
      this.#rest.copy(grown, 0, 0, this.#restBytes)
      this.#rest = grown
    }
    chunk.copy(this.#rest, this.#restBytes)
    this.#restBytes = needed
  }
}

/** Position behind the blank line that ends the next event, or -1. */
function findEnd (bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(LINE_FEED, start); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const next = bytes[at + 1]
    if (next === LINE_FEED) return at + 2
    if (next === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3
  }
  return -1
}

function toEvent (bytes: Buffer): WholeEvent {
  const id = ID_LINE.exec(bytes.toString('latin1'))?.[1]
  return id === undefined ? { bytes } : { bytes, id: Number(id) }
}
