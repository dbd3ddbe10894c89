/** Writes one answer to its caller: buffered bodies in one piece, streams event by event, also across several runners. */
import type { ServerResponse } from 'node:http'
import { EventSplitter } from '../forward/event-splitter.js'
import { allowsBody, isFramed } from '../forward/framing.js'
import type { RawHeaders, RequestCodec } from '../forward/types.js'
import { onceOver } from '../front/answer-over.js'
import type { ByteBudget, ByteHold } from '../memory/byte-budget.js'
import { StreamBody } from './stream-body.js'

/** Status and headers of a runner's answer. */
export type AnswerHead = {
  status: number
  headers: RawHeaders
  /** The answer has a Content-Length or is chunked. Otherwise it ends when the runner closes the connection. */
  framed: boolean
}

/** A complete answer that isn't a stream. */
export type BufferedAnswer = {
  head: AnswerHead
  /** The body in pieces. */
  body: readonly Buffer[]
  /** Counts the body until the caller has it. */
  hold: ByteHold
}

/** Creates the head and detects from the headers whether the body is framed. */
export function createHead (status: number, headers: RawHeaders): AnswerHead {
  const names = headers.filter((_, index) => index % 2 === 0)
  return { status, headers, framed: isFramed(names) || !allowsBody(status) }
}

/** Faults in the event stream of one attempt. */
export const StreamFault = {
  /** An event is missing or duplicated. */
  Gap: 'gap',
  /** The stream ended in the middle of an event. */
  Unfinished: 'unfinished',
  /** An event exceeds the size limit. */
  Overlong: 'overlong',
  /** No memory is left for an incomplete event. */
  NoRoom: 'no-room',
  /** The stream is too large for a caller that has to get it in one piece. */
  TooLarge: 'too-large'
} as const
export type StreamFault = (typeof StreamFault)[keyof typeof StreamFault]

export class AnswerWriter {
  readonly #splitter = EventSplitter.create()
  readonly #body: StreamBody
  #head: AnswerHead | undefined
  #started = false
  #eventCount = 0
  #lastEventId: number | undefined
  /** The next event is the first of a part that continues the stream. */
  #atJoin = false

  private constructor (
    private readonly response: ServerResponse,
    private readonly codec: RequestCodec,
    private readonly closesConnection: () => boolean,
    memory: ByteBudget
  ) {
    this.#body = StreamBody.create(response, memory)
  }

  /** @param memory limits streams that are collected for their callers */
  static create (response: ServerResponse, codec: RequestCodec, closesConnection: () => boolean, memory: ByteBudget): AnswerWriter {
    return new AnswerWriter(response, codec, closesConnection, memory)
  }

  /** An event of a stream has been written to the caller. */
  get started (): boolean {
    return this.#started
  }

  /** Number of complete events written to the caller. */
  get eventCount (): number {
    return this.#eventCount
  }

  /** Id of the last event written to the caller. */
  get lastEventId (): number | undefined {
    return this.#lastEventId
  }

  /** Writes a complete answer that isn't a stream. Its memory is given back when the caller has it. */
  writeBuffered ({ head, body, hold }: BufferedAnswer): void {
    onceOver(this.response, () => hold.close())
    if (this.response.destroyed) return
    // What its caller doesn't read gives way to answers that are still arriving.
    hold.settle(() => this.response.destroy())
    const headers = this.#callerHeaders(head)
    if (allowsBody(head.status)) headers.push(...this.#lengthHeader(head, body))
    this.response.writeHead(head.status, headers)
    for (const piece of body.slice(0, -1)) this.response.write(piece)
    this.response.end(body.at(-1))
  }

  /**
   * Starts the part of a stream that one runner produces. Only the first runner's head is sent to the caller.
   * @param hold counts what is kept of an incomplete event
   */
  openStream (head: AnswerHead, hold: ByteHold): void {
    this.#head ??= head
    this.#splitter.reset(hold)
    this.#atJoin = this.#started
  }

  /** Discards the incomplete event of a part that has ended. */
  closePart (): void {
    this.#splitter.reset()
  }

  /**
   * Writes the events that this chunk completes, up to the first faulty one.
   * @returns a fault if an event is missing, duplicated or too long; false if the runner has to wait for the caller to read
   */
  pushStream (chunk: Buffer): StreamFault | boolean {
    const { bytes, events } = this.#splitter.push(chunk)
    const faultyAt = events.findIndex(({ id }) => !this.#take(id))
    const endAt = faultyAt < 0 ? bytes.length : events[faultyAt - 1]?.endAt ?? 0
    const flows = endAt === 0 || this.#write(bytes.subarray(0, endAt))
    if (faultyAt >= 0) return StreamFault.Gap
    if (this.#body.overlong) return StreamFault.TooLarge
    if (this.#splitter.lacksRoom) return StreamFault.NoRoom
    return this.#splitter.overlong ? StreamFault.Overlong : flows
  }

  /** Ends a stream that its runner has ended. */
  endStream (): StreamFault | undefined {
    if (this.#splitter.rest.length > 0) return StreamFault.Unfinished
    this.#start()
    this.#body.end()
    return undefined
  }

  /** Closes the connection of a stream that can't be completed: its last chunk, or its length, is missing. */
  abort (): void {
    const { socket } = this.response
    // Events written in this turn of the event loop are still delivered.
    if (socket !== null) setImmediate(() => socket.destroySoon())
    else this.response.destroy()
  }

  /** Whether an event with this id is the next one of the stream that the caller has a part of. */
  continuesWith (id: number | undefined): boolean {
    return id !== undefined && this.#lastEventId !== undefined && id === this.#lastEventId + 1
  }

  /** Counts an event that is going to be written; false: it is faulty. */
  #take (id: number | undefined): boolean {
    if (!this.#isNextEvent(id)) return false
    this.#atJoin = false
    if (id !== undefined) this.#lastEventId = id
    this.#eventCount += 1
    return true
  }

  /** Returns false if the runner has to wait for the caller to read. */
  #write (events: Buffer): boolean {
    this.#start()
    return this.#body.write(events)
  }

  /** Event ids must be consecutive. Only an id shows that a part continues the stream, and isn't the text of an error. */
  #isNextEvent (id: number | undefined): boolean {
    if (this.#atJoin && (id === undefined || this.#lastEventId === undefined)) return false
    return id === undefined || this.#lastEventId === undefined || id === this.#lastEventId + 1
  }

  #start (): void {
    if (this.#started || this.#head === undefined || this.response.destroyed) return
    this.#started = true
    this.#body.start(this.#head.status, this.#callerHeaders(this.#head))
  }

  /** An answer to HEAD states the length that its runner stated. */
  #lengthHeader ({ headers }: AnswerHead, body: readonly Buffer[]): RawHeaders {
    if (this.response.req.method !== 'HEAD') return ['Content-Length', String(body.reduce((sum, { length }) => sum + length, 0))]
    const at = headers.findIndex((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length')
    return at < 0 ? [] : headers.slice(at, at + 2)
  }

  #callerHeaders (head: AnswerHead): RawHeaders {
    const headers = this.codec.encodeAnswer(head.headers)
    if (this.closesConnection()) headers.push('Connection', 'close')
    return headers
  }
}
