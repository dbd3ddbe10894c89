/** Reads one attempt at a runner up to its outcome, and hands the bytes of good answers to the relay. */
import { AttemptObserver, FailedAt, Flow } from '../forward/attempt.js'
import type { AnswerFacts, RawHeaders, RequestCodec } from '../forward/types.js'
import { AnswerRelay, createHead, StreamFault, type AnswerHead } from './answer-relay.js'
import { Outcome } from './outcome.js'

/** How an attempt ended. */
export type AttemptResult = {
  outcome: Outcome
  /** Ordinary words for the log. */
  reason: string
  facts?: AnswerFacts
  /** A whole answer that hasn't gone to the caller yet. */
  whole?: { head: AnswerHead, body: Buffer }
}

export type ResultEvents = {
  /** The request is written to its runner next; false: it isn't. */
  onSending: () => boolean
  /** The head of an answer to this request is there. */
  onHead: (facts: AnswerFacts) => void
  /** The first piece of a stream's body is there. */
  onFirstByte: () => void
  /** Whole events of a stream have gone on to the caller. */
  onEvents: () => void
  /** The runner sends without end. */
  onOverlong: (reason: string) => void
  /** Called once. */
  onResult: (result: AttemptResult) => void
}

/** A whole answer larger than this is given up. */
const MAX_WHOLE_BYTES = 8 * 1024 * 1024

const FAILURE_OUTCOMES: Record<FailedAt, Outcome> = {
  [FailedAt.Connect]: Outcome.Unreached,
  [FailedAt.Withdrawn]: Outcome.Withdrawn,
  [FailedAt.Sent]: Outcome.Unknown,
  [FailedAt.Answer]: Outcome.Unknown
}

const Mode = { Waiting: 'waiting', Whole: 'whole', Stream: 'stream' } as const
type Mode = (typeof Mode)[keyof typeof Mode]

export class ResultObserver extends AttemptObserver {
  #mode: Mode = Mode.Waiting
  #facts: AnswerFacts | undefined
  #head: AnswerHead | undefined
  #chunks: Buffer[] = []
  #bytes = 0
  #done = false

  private constructor (
    private readonly requestId: string,
    private readonly codec: RequestCodec,
    private readonly relay: AnswerRelay,
    private readonly events: ResultEvents
  ) {
    super()
  }

  static create (requestId: string, codec: RequestCodec, relay: AnswerRelay, events: ResultEvents): ResultObserver {
    return new ResultObserver(requestId, codec, relay, events)
  }

  override onSending (): boolean {
    return this.events.onSending()
  }

  override onHead (status: number, headers: RawHeaders): Flow {
    const facts = this.codec.decodeAnswer(status, headers)
    this.#facts = facts
    this.#head = createHead(status, headers)
    if (facts.requestId !== this.requestId) return this.#reject('the answer belongs to another request')
    this.events.onHead(facts)
    if (facts.notRun || facts.misdirected) return this.#ignore(Outcome.NotRun, facts.misdirected ? 'misdirected' : 'refused by the runner')
    if (facts.encoded) return this.#reject('the answer is encoded')
    if (!facts.signed) return this.#reject('the answer is not signed')
    if (facts.isEventStream && status === 200) {
      this.#mode = Mode.Stream
      this.relay.openStream(this.#head)
      return Flow.Continue
    }
    this.#mode = Mode.Whole
    return Flow.Continue
  }

  override onData (chunk: Buffer): Flow {
    return this.#mode === Mode.Stream ? this.#onStreamData(chunk) : this.#onWholeData(chunk)
  }

  override onEnd (): void {
    if (this.#mode === Mode.Stream) {
      const fault = this.relay.endStream()
      this.#finish(fault === undefined ? Outcome.Answered : Outcome.Unknown, fault === undefined ? 'stream complete' : 'the stream ended within an event')
      return
    }
    if (this.#mode === Mode.Whole) this.#finishWhole()
  }

  override onFailure (at: FailedAt, error: Error): void {
    this.#finish(FAILURE_OUTCOMES[at], `${at}: ${error.message}`)
  }

  #onStreamData (chunk: Buffer): Flow {
    this.events.onFirstByte()
    const before = this.relay.eventCount
    const flows = this.relay.pushStream(chunk)
    if (this.relay.eventCount > before) this.events.onEvents()
    if (flows === StreamFault.Gap) return this.#reject('an event is missing or came twice')
    if (flows === StreamFault.Overlong) return this.#cut('an event has no end')
    return flows ? Flow.Continue : Flow.Pause
  }

  #onWholeData (chunk: Buffer): Flow {
    this.#chunks.push(chunk)
    this.#bytes += chunk.length
    return this.#bytes > MAX_WHOLE_BYTES ? this.#cut('the answer is too large') : Flow.Continue
  }

  #finishWhole (): void {
    const head = this.#head
    if (head === undefined) return
    const whole = { head, body: Buffer.concat(this.#chunks) }
    const outcome = head.status < 500 ? Outcome.Answered : Outcome.RunnerFailed
    this.#finish(outcome, `status ${head.status}`, whole)
  }

  /** The connection can't be trusted any more. */
  #reject (reason: string): Flow {
    this.#finish(Outcome.Unknown, reason)
    return Flow.Close
  }

  /** The runner sends more than any sound answer has. */
  #cut (reason: string): Flow {
    this.events.onOverlong(reason)
    return this.#reject(reason)
  }

  /** Acts at once, whatever becomes of the rest. */
  #ignore (outcome: Outcome, reason: string): Flow {
    this.#finish(outcome, reason)
    return Flow.Skip
  }

  #finish (outcome: Outcome, reason: string, whole?: { head: AnswerHead, body: Buffer }): void {
    if (this.#done) return
    this.#done = true
    this.#chunks = []
    this.events.onResult({ outcome, reason, facts: this.#facts, whole })
  }
}
