/** Relays one caller's answer from the runners that produce it: whole bodies at once, streams event by event. */
import type { ServerResponse } from 'node:http'
import { EventSplitter } from '../forward/event-splitter.js'
import type { RawHeaders, RequestCodec } from '../forward/types.js'

/** The head that a runner gave. */
export type AnswerHead = {
  status: number
  headers: RawHeaders
  /** The answer has a length or chunks; otherwise only the end of its connection ends it, which proves nothing. */
  framed: boolean
}

/** Reads from a runner's headers how the end of its answer is marked. */
export function createHead (status: number, headers: RawHeaders): AnswerHead {
  const names = headers.filter((_, index) => index % 2 === 0).map((name) => name.toLowerCase())
  const framed = names.includes('content-length') || names.includes('transfer-encoding') || !allowsBody(status)
  return { status, headers, framed }
}

/** What came of the bytes of one attempt at a stream. */
export const StreamFault = {
  /** The runner left an event or part of one out. */
  Gap: 'gap',
  /** It sent something that isn't an event behind the last one. */
  Unfinished: 'unfinished',
  /** An event goes on beyond any sound length. */
  Overlong: 'overlong'
} as const
export type StreamFault = (typeof StreamFault)[keyof typeof StreamFault]

export class AnswerRelay {
  readonly #splitter = EventSplitter.create()
  #head: AnswerHead | undefined
  #begun = false
  #eventCount = 0
  #lastEventId: number | undefined

  private constructor (
    private readonly response: ServerResponse,
    private readonly codec: RequestCodec,
    private readonly closesConnection: () => boolean
  ) {}

  static create (response: ServerResponse, codec: RequestCodec, closesConnection: () => boolean): AnswerRelay {
    return new AnswerRelay(response, codec, closesConnection)
  }

  /** Bytes of the answer have gone to the caller. */
  get begun (): boolean {
    return this.#begun
  }

  /** Whole events that went to the caller. */
  get eventCount (): number {
    return this.#eventCount
  }

  /** Id of the last event that went to the caller. */
  get lastEventId (): number | undefined {
    return this.#lastEventId
  }

  /** Sends an answer that is whole. */
  sendWhole (head: AnswerHead, body: Buffer): void {
    if (this.response.destroyed) return
    const headers = this.#callerHeaders(head)
    if (head.framed && allowsBody(head.status)) headers.push('Content-Length', String(body.length))
    this.#writeHead(head, headers)
    this.response.end(body)
  }

  /** Starts the part of a stream that one runner gives; only the first runner's head reaches the caller. */
  openStream (head: AnswerHead): void {
    this.#head ??= head
    this.#splitter.reset()
  }

  /**
   * Passes on the events that became whole.
   * @returns a fault if an event is missing, comes twice or has no end; false if the caller reads more slowly than the runner sends
   */
  pushStream (chunk: Buffer): StreamFault | boolean {
    let flows = true
    for (const event of this.#splitter.push(chunk)) {
      if (!this.#follows(event.id)) return StreamFault.Gap
      if (event.id !== undefined) this.#lastEventId = event.id
      this.#begin()
      this.#eventCount += 1
      flows = this.response.write(event.bytes) && flows
    }
    return this.#splitter.overlong ? StreamFault.Overlong : flows
  }

  /** Ends a stream that its runner completed. */
  endStream (): StreamFault | undefined {
    if (this.#splitter.rest.length > 0) return StreamFault.Unfinished
    this.#begin()
    this.response.end()
    return undefined
  }

  /** Ends an answer that can't be completed, so that the caller can't take it for a whole one. */
  breakOff (): void {
    const { socket } = this.response
    if (socket === null || this.#head?.framed !== true) {
      // Only a reset tells the end of an answer without a length from its break.
      if (socket === null) this.response.destroy()
      else socket.resetAndDestroy()
      return
    }
    // Events passed on in this turn still reach the caller; the last chunk is missing.
    setImmediate(() => socket.destroySoon())
  }

  /** A later event has to follow the last one without a gap. */
  #follows (id: number | undefined): boolean {
    return id === undefined || this.#lastEventId === undefined || id === this.#lastEventId + 1
  }

  #begin (): void {
    if (this.#begun || this.#head === undefined || this.response.destroyed) return
    this.#begun = true
    this.#writeHead(this.#head, this.#callerHeaders(this.#head))
  }

  /** An answer whose end isn't marked stays so: the caller must not take it for proven whole. */
  #writeHead (head: AnswerHead, headers: RawHeaders): void {
    if (!head.framed) this.response.useChunkedEncodingByDefault = false
    this.response.writeHead(head.status, headers)
  }

  #callerHeaders (head: AnswerHead): RawHeaders {
    const headers = this.codec.encodeAnswer(head.headers)
    if (this.closesConnection() || !head.framed) headers.push('Connection', 'close')
    return headers
  }
}

function allowsBody (status: number): boolean {
  return status >= 200 && status !== 204 && status !== 304
}
