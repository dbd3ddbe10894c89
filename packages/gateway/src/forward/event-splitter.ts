/** Cuts a body of server-sent events into whole events and reads their ids. */

/** A whole event: its bytes and its id, if it has one. */
export type WholeEvent = { bytes: Buffer, id?: number }

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_LINE = /^id: ?(\d+)\r?$/m

export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0)

  private constructor () {}

  static create (): EventSplitter {
    return new EventSplitter()
  }

  /** Adds bytes and returns the events that became whole. */
  push (chunk: Buffer): WholeEvent[] {
    const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk])
    const events: WholeEvent[] = []
    let start = 0
    for (let end = findEnd(bytes, start); end > 0; end = findEnd(bytes, start)) {
      events.push(toEvent(bytes.subarray(start, end)))
      start = end
    }
    this.#rest = bytes.subarray(start)
    return events
  }

  /** Bytes of an event that isn't whole yet. */
  get rest (): Buffer {
    return this.#rest
  }

  /** Forgets an event that its runner left unfinished. */
  reset (): void {
    this.#rest = Buffer.alloc(0)
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
