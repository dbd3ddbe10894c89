import type { Failure } from '@figloom/runtime'
import type { ListenerResponse } from '../listener/http-listener.js'
import { AnswerSink, type HeaderFields } from '../requests/types.js'
import { formatFailure, formatFailureEvent } from './failure-answer.js'

const EVENT_STREAM = 'text/event-stream'

/** Writes an answer to a caller's connection, with backpressure. */
export class HttpSink extends AnswerSink {
  #isEventStream = false

  private constructor (private readonly response: ListenerResponse, private readonly baseHeaders: HeaderFields) {
    super()
  }

  /** `baseHeaders` are sent with every answer. */
  static create (response: ListenerResponse, baseHeaders: HeaderFields): HttpSink {
    return new HttpSink(response, baseHeaders)
  }

  override get started (): boolean {
    return this.response.headersSent
  }

  override writeHead (status: number, headers: HeaderFields): void {
    this.#isEventStream = headers['content-type']?.startsWith(EVENT_STREAM) ?? false
    this.response.writeHead(status, { ...headers, ...this.baseHeaders })
  }

  override async write (bytes: Uint8Array | string): Promise<void> {
    const response = this.response
    if (response.destroyed || response.writableEnded) return
    // The two HTTP versions declare `write` with overloads that have no common signature.
    const flushed = (response.write as (chunk: Uint8Array | string) => boolean).call(response, bytes)
    if (!flushed) await waitForDrain(response)
  }

  override end (): void {
    this.response.end()
  }

  override fail (failure: Failure): void {
    if (this.response.destroyed || this.response.writableEnded) return
    if (!this.started) {
      const { status, headers, body } = formatFailure(failure)
      this.writeHead(status, headers)
      this.response.end(body)
      return
    }
    if (this.#isEventStream) {
      this.response.end(formatFailureEvent(failure))
      return
    }
    // A body that has started can only be cut, so that the caller sees that it is incomplete.
    destroyResponse(this.response)
  }
}

function waitForDrain (response: ListenerResponse): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      response.off('drain', finish)
      response.off('close', finish)
      resolve()
    }
    response.on('drain', finish)
    response.on('close', finish)
  })
}

function destroyResponse (response: ListenerResponse): void {
  if ('stream' in response && response.stream !== undefined) {
    response.stream.destroy(new Error('answer incomplete'))
    return
  }
  response.destroy()
}
