import { createParser, type EventSourceParser } from 'eventsource-parser'

/** Events parsed from one chunk of bytes of an engine's event stream. */
export type ParsedEvents = {
  /** Events to pass on, in order, in the text format of server-sent events. */
  text: string
  /** Tokens in `text`. */
  tokens: number
  /** Events of other attempts that were dropped. */
  foreignEvents: number
}

type Chunk = {
  id?: string
  figloom_attempt_id?: string
  figloom_token?: number
  error?: unknown
  choices?: { delta?: { content?: string | null }, finish_reason?: string | null }[]
}

const DONE = '[DONE]'

/**
 * Parses the event stream of one attempt: drops events that belong to other attempts or were delivered before, and
 * detects gaps, errors and a missing end.
 */
export class TokenStream {
  readonly #decoder = new TextDecoder()
  readonly #parser: EventSourceParser
  #parsed: ParsedEvents = { text: '', tokens: 0, foreignEvents: 0 }
  #complete = false
  #broken = false

  private constructor (private readonly attemptId: string, private readonly answerId: string, private nextIndex: number) {
    this.#parser = createParser({ onEvent: ({ data }) => this.#onEvent(data) })
  }

  /** `answerId` replaces the id of each event; `fromToken` is the number of tokens delivered by earlier attempts. */
  static create (options: { attemptId: string, answerId: string, fromToken: number }): TokenStream {
    return new TokenStream(options.attemptId, options.answerId, options.fromToken)
  }

  /** Whether the explicit end of the stream (`[DONE]`) was received. */
  get complete (): boolean {
    return this.#complete
  }

  /** Whether the stream has a gap or an error; no later event may be passed on. */
  get broken (): boolean {
    return this.#broken
  }

  push (bytes: Uint8Array): ParsedEvents {
    this.#parsed = { text: '', tokens: 0, foreignEvents: 0 }
    this.#parser.feed(this.#decoder.decode(bytes, { stream: true }))
    return this.#parsed
  }

  #onEvent (data: string): void {
    if (this.#broken || this.#complete) return
    if (data === DONE) {
      this.#complete = true
      this.#parsed.text += `data: ${DONE}\n\n`
      return
    }
    const chunk = parseChunk(data)
    if (chunk === undefined || chunk.error !== undefined) {
      this.#broken = true
      return
    }
    if (chunk.figloom_attempt_id !== undefined && chunk.figloom_attempt_id !== this.attemptId) {
      this.#parsed.foreignEvents += 1
      return
    }
    this.#accept(chunk)
  }

  #accept (chunk: Chunk): void {
    const content = chunk.choices?.[0]?.delta?.content
    const hasToken = typeof content === 'string' && content !== ''
    const index = chunk.figloom_token ?? this.nextIndex
    if (hasToken && index < this.nextIndex) return
    if (index !== this.nextIndex) {
      this.#broken = true
      return
    }
    if (hasToken) {
      this.nextIndex += 1
      this.#parsed.tokens += 1
    }
    const { figloom_attempt_id: _attempt, figloom_token: _token, ...rest } = chunk
    this.#parsed.text += `data: ${JSON.stringify({ ...rest, id: this.answerId })}\n\n`
  }
}

function parseChunk (data: string): Chunk | undefined {
  try {
    return JSON.parse(data) as Chunk
  } catch {
    return undefined
  }
}
