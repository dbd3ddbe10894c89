import { setResponseHeader, setResponseStatus, type H3Event } from 'h3'
import { resetConnection, sendJson } from '../http/request-helpers.js'
import type { EngineCore } from './engine-core.js'
import { tokenAt } from './tokens.js'
import type { GenerateRequest, GenerateSink } from './types.js'

const CREATED_SECONDS = 1_767_225_600
const NOT_RESIDENT_STATUS = 404
const CANCELED_STATUS = 409

/** What goes wrong with one answer. */
export type AnswerFaults = {
  delayMs: number
  /** Id and prompt of another attempt that the answer carries in place of its own. */
  crossed: { attemptId: string, prompt: string } | undefined
  /** Tokens after which the connection is reset. */
  cutAfterTokens: number | undefined
  reset: boolean
}

/** Takes the faults that hit the next answer. */
export function takeAnswerFaults (engine: EngineCore, request: GenerateRequest): AnswerFaults {
  const other = engine.otherThan(request.attemptId) ?? { attemptId: `crossed-${request.attemptId}`, prompt: `crossed ${request.prompt}` }
  return {
    delayMs: engine.takeFault('delayAnswers') ? engine.faults.answerDelayMs : 0,
    crossed: engine.takeFault('crossAnswers') ? { attemptId: other.attemptId, prompt: other.prompt } : undefined,
    cutAfterTokens: engine.takeFault('cutAnswers') ? engine.faults.cutAfterTokens : undefined,
    reset: engine.takeFault('resetAfterRead')
  }
}

/** Writes the answer to one generation, whole or as server-sent events. */
export class ChatAnswer implements GenerateSink {
  #text = ''
  #tokens = 0
  #ended = false

  private constructor (
    private readonly event: H3Event,
    private readonly request: GenerateRequest,
    private readonly stream: boolean,
    private readonly faults: AnswerFaults,
    private readonly later: (callback: () => void) => void
  ) {}

  /** `later` runs a callback after the delay that the faults ask for, keeping the order. */
  static create (event: H3Event, request: GenerateRequest, stream: boolean, faults: AnswerFaults, later: (callback: () => void) => void): ChatAnswer {
    return new ChatAnswer(event, request, stream, faults, later)
  }

  onToken (index: number, token: string): void {
    this.later(() => this.#write(index, token))
  }

  onEnd (): void {
    this.later(() => this.#finish())
  }

  onRefused (): void {
    sendNotResident(this.event)
  }

  onCanceled (started: boolean): void {
    if (started) return this.#reset()
    this.#ended = true
    sendCanceled(this.event)
  }

  onCut (): void {
    this.#reset()
  }

  get #attemptId (): string {
    return this.faults.crossed?.attemptId ?? this.request.attemptId
  }

  #write (index: number, token: string): void {
    if (this.#ended) return
    if (this.faults.reset || this.#tokens === this.faults.cutAfterTokens) return this.#reset()
    const text = this.faults.crossed === undefined ? token : tokenAt(this.faults.crossed.prompt, index)
    this.#tokens += 1
    this.#text += text
    if (this.stream) this.#writeChunk({ index: 0, delta: { content: text }, finish_reason: null }, index)
  }

  #finish (): void {
    if (this.#ended) return
    if (this.faults.reset || this.faults.cutAfterTokens !== undefined) return this.#reset()
    this.#ended = true
    if (!this.stream) return this.#sendWhole()
    this.#writeChunk({ index: 0, delta: {}, finish_reason: 'stop' }, this.request.resumeFrom + this.#tokens)
    this.event.node.res.end('data: [DONE]\n\n')
  }

  #sendWhole (): void {
    setResponseHeader(this.event, 'figloom-attempt-id', this.#attemptId)
    const message = { role: 'assistant', content: this.#text }
    sendJson(this.event, 200, {
      ...this.#envelope('chat.completion'),
      choices: [{ index: 0, message, finish_reason: 'stop' }],
      usage: { prompt_tokens: 0, completion_tokens: this.#tokens, total_tokens: this.#tokens }
    })
  }

  #writeChunk (choice: object, token?: number): void {
    const { res } = this.event.node
    if (!res.headersSent) {
      setResponseStatus(this.event, 200)
      setResponseHeader(this.event, 'content-type', 'text/event-stream')
      setResponseHeader(this.event, 'figloom-attempt-id', this.#attemptId)
    }
    const chunk = { ...this.#envelope('chat.completion.chunk'), ...(token === undefined ? {} : { figloom_token: token }), choices: [choice] }
    res.write(`data: ${JSON.stringify(chunk)}\n\n`)
  }

  #envelope (object: string) {
    const { request } = this
    return { id: `chatcmpl-${this.#attemptId}`, object, created: CREATED_SECONDS, model: request.model, figloom_attempt_id: this.#attemptId }
  }

  #reset (): void {
    this.#ended = true
    resetConnection(this.event)
  }
}

/** Answers that the model, version or adapter is not resident: the request did not run. */
export function sendNotResident (event: H3Event): void {
  sendJson(event, NOT_RESIDENT_STATUS, { error: { code: 'model_not_resident', type: 'invalid_request_error', message: 'model not resident' } })
}

/** Answers that the attempt was cancelled before it started. */
export function sendCanceled (event: H3Event): void {
  sendJson(event, CANCELED_STATUS, { error: { code: 'canceled', type: 'invalid_request_error', message: 'canceled before it started' } })
}
