import { createParser } from 'eventsource-parser'
import { z } from 'zod'
import type { Clock } from '@figloom/runtime'
import { checkCompleteAnswer, isExpectedPrefix } from './answer-check.js'
import { parseJson, readErrorBody } from './error-body.js'
import type { Attempt, Ending } from './types.js'

const OK_STATUS = 200
const chunkSchema = z.object({ choices: z.array(z.object({ delta: z.object({ content: z.string().nullish() }) })) })
const completeSchema = z.object({ choices: z.array(z.object({ message: z.object({ content: z.string() }) })).min(1) })

/** Reads an answer that was not streamed. */
export function readCompleteChat (clock: Clock, prompt: string, maxTokens: number, text: string): Attempt {
  const times = { endedAtMs: clock.monotonicMs(), tokens: maxTokens }
  const parsed = completeSchema.safeParse(parseJson(text))
  if (!parsed.success) return { ending: { kind: 'failed', reason: 'answer of another form' }, times }
  const checked = checkCompleteAnswer(prompt, maxTokens, parsed.data.choices[0]?.message.content ?? '')
  return { ending: checked === 'answered' ? { kind: checked, replayed: false } : { kind: checked }, times }
}

/** Reads a streamed answer and records when its first token arrived and how many it has. */
export class ChatStreamReader {
  #text = ''
  #tokens = 0
  #firstTokenAtMs: number | undefined
  #done = false
  #error: Ending | undefined
  readonly #decoder = new TextDecoder()
  readonly #parser = createParser({ onEvent: ({ data }) => this.#onEvent(data) })

  private constructor (private readonly clock: Clock, private readonly prompt: string, private readonly maxTokens: number) {}

  static create (clock: Clock, prompt: string, maxTokens: number): ChatStreamReader {
    return new ChatStreamReader(clock, prompt, maxTokens)
  }

  push (bytes: Uint8Array): void {
    this.#parser.feed(this.#decoder.decode(bytes, { stream: true }))
  }

  /** Ends the stream and checks the answer; `broken` is the error if the stream broke off. */
  end (broken?: string): Attempt {
    const times = { endedAtMs: this.clock.monotonicMs(), tokens: this.#tokens }
    const ending = this.#toEnding(broken)
    return { ending, times: this.#firstTokenAtMs === undefined ? times : { ...times, firstTokenAtMs: this.#firstTokenAtMs } }
  }

  #toEnding (broken: string | undefined): Ending {
    if (this.#done) {
      const checked = checkCompleteAnswer(this.prompt, this.maxTokens, this.#text)
      return checked === 'answered' ? { kind: checked, replayed: false } : { kind: checked }
    }
    if (!isExpectedPrefix(this.prompt, this.maxTokens, this.#text)) return { kind: 'foreign' }
    return this.#error ?? { kind: 'failed', reason: broken ?? 'stream ended without [DONE]' }
  }

  #onEvent (data: string): void {
    if (data === '[DONE]') {
      this.#done = this.#error === undefined
      return
    }
    const value = parseJson(data)
    if (typeof value === 'object' && value !== null && 'error' in value) {
      this.#error = readErrorBody(OK_STATUS, data)
      return
    }
    const content = chunkSchema.safeParse(value).data?.choices[0]?.delta.content ?? ''
    if (content === '') return
    this.#firstTokenAtMs ??= this.clock.monotonicMs()
    this.#tokens += 1
    this.#text += content
  }
}
