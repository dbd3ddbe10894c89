import { setResponseHeader, setResponseStatus, type H3Event } from 'h3'
import { resetConnection, sendJson } from '../http/request-helpers.js'
import type { EngineCore } from './engine-core.js'
import { tokenAt } from './tokens.js'
import type { GenerateRequest, GenerateSink } from './types.js'

const CREATED_SECONDS = 1_767_225_600
const NOT_RESIDENT_STATUS = 404
const CANCELED_STATUS = 409

/** Faults that are injected into one answer. */
export type AnswerFaults = {
  /** Delay of each write. */
  delayMs: number
  /** Another attempt whose id and tokens the answer carries in place of its own. */
  swappedWith: { attemptId: string, prompt: string } | undefined
  /** Number of tokens after which the connection is reset. */
  cutAfterTokens: number | undefined
  /** Whether the connection is reset in place of the first token. */
  resetAtFirstToken: boolean
}

/** Decrements the counted faults that affect the next answer, and returns them. */
export function consumeAnswerFaults (engine: EngineCore, request: GenerateRequest): AnswerFaults {
  const other = engine.otherRunningRequest(request.attemptId) ?? { attemptId: `crossed-${request.attemptId}`, prompt: `crossed ${request.prompt}` }
  return {
    delayMs: engine.consumeFault('delayAnswers') ? engine.faults.answerDelayMs : 0,
    swappedWith: engine.consumeFault('crossAnswers') ? { attemptId: other.attemptId, prompt: other.prompt } : undefined,
    cutAfterTokens: engine.consumeFault('cutAnswers') ? engine.faults.cutAfterTokens : undefined,
    resetAtFirstToken: engine.consumeFault('resetAfterRead')
  }
}

/** Writes the answer to one generation, as one JSON body or as server-sent events. */
export class ChatAnswer implements GenerateSink {
  #text = ''
  #tokens = 0
  #ended = false

  private constructor (
    private readonly event: H3Event,
    private readonly request: GenerateRequest,
    private readonly stream: boolean,
    private readonly faults: AnswerFaults,
    private readonly schedule: (callback: () => void) => void
  ) {}

  /** `schedule` runs a callback after the delay in `faults`; callbacks stay in order. */
  static create (
    event: H3Event, request: GenerateRequest, stream: boolean, faults: AnswerFaults, schedule: (callback: () => void) => void
  ): ChatAnswer {
    return new ChatAnswer(event, request, stream, faults, schedule)
  }

  onToken (index: number, token: string): void {
    this.schedule(() => this.#writeToken(index, token))
  }

  onEnd (): void {
    this.schedule(() => this.#finish())
  }

  onRefused (): void {
    sendNotResident(this.event)
  }

  onCanceled (started: boolean): void {
    if (started) return this.#reset()
    this.#ended = true
    sendCanceled(this.event)
  }

  onProcessExit (): void {
    this.#reset()
  }

  get #attemptId (): string {
    return this.faults.swappedWith?.attemptId ?? this.request.attemptId
  }

  #writeToken (index: number, token: string): void {
    if (this.#ended) return
    if (this.faults.resetAtFirstToken || this.#tokens === this.faults.cutAfterTokens) return this.#reset()
    const text = this.faults.swappedWith === undefined ? token : tokenAt(this.faults.swappedWith.prompt, index)
    this.#tokens += 1
    this.#text += text
    if (this.stream) this.#writeChunk({ index: 0, delta: { content: text }, finish_reason: null }, index)
  }

  #finish (): void {
    if (this.#ended) return
    if (this.faults.resetAtFirstToken || this.faults.cutAfterTokens !== undefined) return this.#reset()
    this.#ended = true
    if (!this.stream) return this.#sendComplete()
    this.#writeChunk({ index: 0, delta: {}, finish_reason: 'stop' }, this.request.resumeFrom + this.#tokens)
    this.event.node.res.end('data: [DONE]\n\n')
  }

  #sendComplete (): void {
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

/** Reports that the model, version or adapter is not resident, so the request didn't run. */
export function sendNotResident (event: H3Event): void {
  sendJson(event, NOT_RESIDENT_STATUS, { error: { code: 'model_not_resident', type: 'invalid_request_error', message: 'model not resident' } })
}

/** Reports that the attempt was cancelled before it started. */
export function sendCanceled (event: H3Event): void {
  sendJson(event, CANCELED_STATUS, { error: { code: 'canceled', type: 'invalid_request_error', message: 'canceled before it started' } })
}
