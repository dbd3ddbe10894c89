/** Determines the outcome of one attempt, and passes the bytes of valid answers to the writer. */
import { AttemptObserver, FailureStage, FaultAt, Flow } from '../forward/attempt.js'
import { EventSplitter } from '../forward/event-splitter.js'
import type { AnswerFacts, RawHeaders, RequestCodec } from '../forward/types.js'
import type { ByteHold } from '../memory/byte-budget.js'
import { ByteCollector } from '../memory/byte-collector.js'
import { AnswerWriter, createHead, StreamFault, type AnswerHead, type BufferedAnswer } from './answer-writer.js'
import { Outcome } from './outcome.js'

/** How an attempt ended. */
export type AttemptResult = {
  outcome: Outcome
  /** Description for the log. */
  reason: string
  facts?: AnswerFacts
  /** The connection to the runner failed after the request was sent. */
  connectionBroke?: boolean
  /** Where the attempt failed; absent if it didn't, or if the runner itself answered so. */
  faultAt?: FaultAt
  /** A complete answer that hasn't been sent to the caller yet. */
  bufferedAnswer?: BufferedAnswer
  /** The answer has more bytes than a valid one, or than there is memory left for. */
  isTooLarge?: boolean
  /** There was no memory left for an answer of a usual size, which says nothing about the runner. */
  lacksRoom?: boolean
}

export type ResultCallbacks = {
  /** Called before the request is written to its runner; false withdraws the attempt. */
  beforeWrite: () => boolean
  /** Bytes of an answer were received. */
  onBytes: () => void
  /** The head of an answer to this request was received. */
  onHead: (facts: AnswerFacts) => void
  /** Another attempt writes the answer: this one must not before its stream has an event. */
  isBesideAnother: () => boolean
  /** A valid stream begins here. @returns why the stream must not be used, if so */
  onStream: (facts: AnswerFacts) => string | undefined
  /** The first chunk of a stream's body was received. */
  onFirstByte: () => void
  /** Complete events of a stream were written to the caller. */
  onEvents: (count: number) => void
  /** The runner sent more data than a valid answer contains. */
  onOverlong: (reason: string) => void
  /** Opens the hold of what is kept of the answer. @param onGiveWay called when the memory is needed for other answers */
  openHold: (onGiveWay: () => void) => ByteHold
  /** Closes the connection to the runner, outside of a call of the observer. */
  closeConnection: () => void
  /** Called exactly once, with how the attempt ended. */
  onResult: (result: AttemptResult) => void
}

/** Larger answers, other than streams, are rejected. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024

/** An answer from this size on for which no memory is left counts against its runner. */
const MIN_SUSPECT_BYTES = 1_048_576

const FAILURE_OUTCOMES: Record<FailureStage, Outcome> = {
  [FailureStage.Connect]: Outcome.ConnectFailed,
  [FailureStage.Withdrawn]: Outcome.Withdrawn,
  [FailureStage.Sent]: Outcome.Unknown,
  [FailureStage.Answer]: Outcome.Unknown
}

const Mode = { Waiting: 'waiting', Buffered: 'whole', /** A stream whose events are not written yet. */ Held: 'held', Stream: 'stream' } as const
type Mode = (typeof Mode)[keyof typeof Mode]

export class ResultObserver extends AttemptObserver {
  #mode: Mode = Mode.Waiting
  #facts: AnswerFacts | undefined
  #head: AnswerHead | undefined
  readonly #hold: ByteHold
  #body: ByteCollector
  /** Events that earlier attempts delivered. */
  #eventsBefore = 0
  readonly #heldEvents: EventSplitter
  #done = false
  #isTooLarge = false
  #lacksRoom = false
  #connectionBroke = false
  #faultAt: FaultAt | undefined

  private constructor (
    private readonly requestId: string,
    private readonly codec: RequestCodec,
    private readonly writer: AnswerWriter,
    private readonly callbacks: ResultCallbacks
  ) {
    super()
    this.#hold = callbacks.openHold(() => this.#onGiveWay())
    this.#body = ByteCollector.create(this.#hold)
    this.#heldEvents = EventSplitter.create(this.#hold)
  }

  static create (requestId: string, codec: RequestCodec, writer: AnswerWriter, callbacks: ResultCallbacks): ResultObserver {
    return new ResultObserver(requestId, codec, writer, callbacks)
  }

  override beforeWrite (): boolean {
    return this.callbacks.beforeWrite()
  }

  override onHead (status: number, headers: RawHeaders): Flow {
    this.callbacks.onBytes()
    const facts = this.codec.decodeAnswer(status, headers)
    this.#facts = facts
    this.#head = createHead(status, headers)
    if (facts.requestId !== this.requestId) return this.#reject('the answer has the id of another request')
    this.callbacks.onHead(facts)
    if (facts.notRun || facts.misdirected) return this.#skipRest(Outcome.NotRun, facts.misdirected ? 'misdirected' : 'refused by the runner')
    if (facts.encoded) return this.#reject('the answer is encoded')
    if (!facts.signed) return this.#reject('the answer is not signed')
    const isStream = facts.isEventStream && status === 200
    // The caller is in the middle of a stream: the text of any other answer would become a part of it.
    if (this.writer.started && !isStream) return this.#skipRest(Outcome.RunnerFailed, `status ${status} does not continue the stream`)
    if (isStream && this.callbacks.isBesideAnother()) {
      this.#mode = Mode.Held
      return Flow.Continue
    }
    if (isStream) return this.#openStream(this.#head, facts)
    this.#mode = Mode.Buffered
    return Flow.Continue
  }

  override onData (chunk: Buffer): Flow {
    this.callbacks.onBytes()
    if (this.#mode === Mode.Held) return this.#onHeldData(chunk)
    return this.#mode === Mode.Stream ? this.#onStreamData(chunk) : this.#onBufferedData(chunk)
  }

  override onEnd (): void {
    if (this.#mode === Mode.Held) return this.#finishHeld()
    if (this.#mode === Mode.Stream) return this.#finishStream()
    if (this.#mode === Mode.Buffered) this.#finishBuffered()
  }

  override onFailure (stage: FailureStage, error: Error, at: FaultAt): void {
    const wasSent = stage === FailureStage.Sent || stage === FailureStage.Answer
    this.#connectionBroke = wasSent && at === FaultAt.Runner
    this.#faultAt = at
    this.#finish(FAILURE_OUTCOMES[stage], `${stage}: ${error.message}`)
  }

  #openStream (head: AnswerHead, facts: AnswerFacts): Flow {
    const fault = this.callbacks.onStream(facts)
    if (fault !== undefined) return this.#reject(fault)
    this.#mode = Mode.Stream
    this.#eventsBefore = this.writer.eventCount
    this.writer.openStream(head, this.#hold)
    return Flow.Continue
  }

  /** The runner has begun only when its stream has an event: it may still break off, and the other one go on. */
  #onHeldData (chunk: Buffer): Flow {
    if (!this.#body.push(chunk)) return this.#rejectForRoom()
    const [first] = this.#heldEvents.push(chunk).events
    if (this.#heldEvents.lacksRoom) return this.#rejectForRoom()
    if (first === undefined && this.callbacks.isBesideAnother()) {
      return this.#heldEvents.overlong ? this.#rejectOverlong('an event exceeds the size limit') : Flow.Continue
    }
    if (first !== undefined && !this.writer.continuesWith(first.id)) return this.#reject('an event is missing or duplicated')
    return this.#release()
  }

  #release (): Flow {
    const held = this.#body.whole()
    this.#dropKept()
    if (this.#head === undefined || this.#facts === undefined) return Flow.Close
    const flow = this.#openStream(this.#head, this.#facts)
    return flow === Flow.Continue && held.length > 0 ? this.#onStreamData(held) : flow
  }

  /** A stream without further events: its caller had all of them. */
  #finishHeld (): void {
    if (this.#head?.framed !== true) return this.#finish(Outcome.Unknown, 'the connection ended before the first event')
    if (this.#release() === Flow.Continue) this.#finishStream()
  }

  #onStreamData (chunk: Buffer): Flow {
    this.callbacks.onFirstByte()
    const eventsBefore = this.writer.eventCount
    const status = this.writer.pushStream(chunk)
    const count = this.writer.eventCount - eventsBefore
    if (count > 0) this.callbacks.onEvents(count)
    if (status === StreamFault.Gap) return this.#reject('an event is missing or duplicated')
    if (status === StreamFault.Overlong) return this.#rejectOverlong('an event exceeds the size limit')
    if (status === StreamFault.NoRoom) return this.#rejectForRoom()
    if (status === StreamFault.TooLarge) return this.#reject('the stream is too large for a caller that gets it in one piece')
    return status ? Flow.Continue : Flow.Pause
  }

  #onBufferedData (chunk: Buffer): Flow {
    if (!this.#body.push(chunk)) return this.#rejectForRoom()
    return this.#body.bytes > MAX_BUFFERED_BYTES ? this.#rejectOverlong('the answer is too large') : Flow.Continue
  }

  /** A stream without framing ends with its connection, so one without any event may have been broken off before the first. */
  #finishStream (): void {
    if (this.#head?.framed === false && this.writer.eventCount === this.#eventsBefore) {
      this.#connectionBroke = true
      return this.#finish(Outcome.Unknown, 'the connection ended before the first event')
    }
    const fault = this.writer.endStream()
    if (fault !== undefined) return this.#finish(Outcome.Unknown, 'the stream ended within an event')
    this.#finish(Outcome.Answered, 'stream complete')
  }

  #finishBuffered (): void {
    const head = this.#head
    if (head === undefined) return
    const bufferedAnswer = { head, body: this.#body.blocks(), hold: this.#hold }
    const outcome = head.status < 500 ? Outcome.Answered : Outcome.RunnerFailed
    this.#finish(outcome, `status ${head.status}`, bufferedAnswer)
  }

  /** Closes the connection, which may hold further invalid data. */
  #reject (reason: string): Flow {
    this.#finish(Outcome.Unknown, reason)
    return Flow.Close
  }

  /** Rejects an answer with more data than a valid one contains. */
  #rejectOverlong (reason: string): Flow {
    this.callbacks.onOverlong(reason)
    this.#isTooLarge = true
    return this.#reject(reason)
  }

  /** It keeps more than any other answer of the runner with the most bytes. */
  #rejectForRoom (): Flow {
    const reason = 'no memory is left for an answer of this size'
    if (this.#mode !== Mode.Buffered || this.#body.bytes >= MIN_SUSPECT_BYTES) return this.#rejectOverlong(reason)
    this.#isTooLarge = true
    this.#lacksRoom = true
    return this.#reject(reason)
  }

  /** Another answer needs the memory of this one. */
  #onGiveWay (): void {
    if (this.#done) return
    this.#rejectForRoom()
    this.callbacks.closeConnection()
  }

  /** Gives back what was kept of a stream that begins now. */
  #dropKept (): void {
    this.#heldEvents.reset()
    this.#hold.giveBack(this.#hold.bytes)
    this.#body = ByteCollector.create(this.#hold)
  }

  /** Reports the outcome at once; the rest of the answer is discarded. */
  #skipRest (outcome: Outcome, reason: string): Flow {
    this.#finish(outcome, reason)
    return Flow.Skip
  }

  #finish (outcome: Outcome, reason: string, bufferedAnswer?: BufferedAnswer): void {
    if (this.#done) return
    this.#done = true
    if (this.#mode === Mode.Stream) this.writer.closePart()
    this.#heldEvents.reset()
    if (bufferedAnswer === undefined) this.#hold.close()
    this.callbacks.onResult({ outcome, reason, facts: this.#facts, connectionBroke: this.#connectionBroke, faultAt: this.#faultAt, bufferedAnswer, isTooLarge: this.#isTooLarge, lacksRoom: this.#lacksRoom })
    this.#body = ByteCollector.create(this.#hold)
  }
}
