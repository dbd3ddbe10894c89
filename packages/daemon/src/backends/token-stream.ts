import { createParser, type EventSourceParser } from 'eventsource-parser'

/** What a piece of an engine's event stream brought. */
export type StreamPiece = {
  /** Events to pass on, in order, as text of server-sent events. */
  text: string
  /** Tokens in `text`. */
  tokens: number
  /** Events of other attempts that were dropped. */
  foreign: number
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
 * Reads one attempt's event stream: drops what belongs to other attempts or was delivered before, and tells a whole
 * stream from one that broke off or has a gap.
 */
export class TokenStream {
  readonly #decoder = new TextDecoder()
  readonly #parser: EventSourceParser
  #piece: StreamPiece = { text: '', tokens: 0, foreign: 0 }
  #complete = false
  #broken = false

  private constructor (private readonly attemptId: string, private readonly answerId: string, private nextIndex: number) {
    this.#parser = createParser({ onEvent: ({ data }) => this.#onEvent(data) })
  }

  /** `answerId` names the whole answer towards the caller; `fromToken` is the number of tokens delivered before. */
  static create (options: { attemptId: string, answerId: string, fromToken: number }): TokenStream {
    return new TokenStream(options.attemptId, options.answerId, options.fromToken)
  }

  /** Whether the explicit end was read. */
  get complete (): boolean {
    return this.#complete
  }

  /** Whether the stream has a gap or an error; nothing after it may be passed on. */
  get broken (): boolean {
    return this.#broken
  }

  push (bytes: Uint8Array): StreamPiece {
    this.#piece = { text: '', tokens: 0, foreign: 0 }
    this.#parser.feed(this.#decoder.decode(bytes, { stream: true }))
    return this.#piece
  }

  #onEvent (data: string): void {
    if (this.#broken || this.#complete) return
    if (data === DONE) {
      this.#complete = true
      this.#piece.text += `data: ${DONE}\n\n`
      return
    }
    const chunk = parseChunk(data)
    if (chunk === undefined || chunk.error !== undefined) {
      this.#broken = true
      return
    }
    if (chunk.figloom_attempt_id !== undefined && chunk.figloom_attempt_id !== this.attemptId) {
      this.#piece.foreign += 1
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
      this.#piece.tokens += 1
    }
    const { figloom_attempt_id: _attempt, figloom_token: _token, ...rest } = chunk
    this.#piece.text += `data: ${JSON.stringify({ ...rest, id: this.answerId })}\n\n`
  }
}

function parseChunk (data: string): Chunk | undefined {
  try {
    return JSON.parse(data) as Chunk
  } catch {
    return undefined
  }
}
