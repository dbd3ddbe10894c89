/** Reads a cell's stream into its state, from the start, from a snapshot, or from what a peer gave. */
import type { LogClient, LogRecord } from '@figloom/clients'
import type { Clock } from '@figloom/runtime'
import { StreamFollower, readBounds, type StreamEvent } from '../streams/stream-follower.js'
import { applyCellRecord, type CellState } from './state.js'
import { adoptSnapshot, restoreCellState } from './snapshots.js'

export type StreamReaderOptions = {
  log: LogClient
  clock: Clock
  stream: string
  waitMs: number
  retryMs: number
  timeoutMs: number
  /** Receives what the follower read, in order; to be handed back to `take`. */
  post: (event: StreamEvent) => void
}

/** Position in a stream and the state up to it. */
export class StreamReader {
  readonly #follower: StreamFollower
  #state: CellState | undefined
  /** Peer's state that does not reach the kept records by itself. */
  #held: CellState | undefined
  #backlog: LogRecord[] = []
  #firstOffset = 1
  #stopped = false

  private constructor (private readonly options: StreamReaderOptions) {
    this.#follower = StreamFollower.create({ ...options, onEvent: (event) => options.post(event) })
  }

  static create (options: StreamReaderOptions): StreamReader {
    return new StreamReader(options)
  }

  /** State up to the last record taken; undefined until it is whole. */
  get state (): CellState | undefined {
    return this.#state
  }

  start (): void {
    this.#restart()
  }

  stop (): void {
    this.#stopped = true
    this.#follower.stop()
  }

  /** Takes an event and returns the records that moved the state, oldest first. */
  take (event: StreamEvent): LogRecord[] {
    if (event.kind === 'failed') return []
    if (event.kind === 'truncated') {
      this.#restart()
      return []
    }
    if (this.#state === undefined) return this.#restore(event)
    const fresh = event.records.filter(({ offset }) => offset > (this.#state?.offset ?? 0))
    for (const record of fresh) this.#state = applyCellRecord(this.#state, record)
    return fresh
  }

  /** Takes a peer's state if it stands for a higher offset; the stream is read on from there. Returns whether it did. */
  takePeerState (state: CellState): boolean {
    if (this.#state === undefined) {
      this.#held = this.#held === undefined ? state : adoptSnapshot(this.#held, state)
      this.#restart()
      return false
    }
    const adopted = adoptSnapshot(this.#state, state)
    if (adopted === this.#state) return false
    this.#state = adopted
    this.#follower.follow(adopted.offset + 1)
    return true
  }

  /** Reads on from the state if the log still keeps what follows it, else from the oldest record. */
  async #restart (): Promise<void> {
    const bounds = await readBounds(this.options.log, this.options.stream)
    if (this.#stopped) return
    if (bounds.isErr()) {
      await this.options.clock.sleep(this.options.retryMs)
      return this.#stopped ? undefined : this.#restart()
    }
    const { firstOffset, nextOffset } = bounds.value
    this.#firstOffset = firstOffset
    this.#backlog = []
    const known = this.#state ?? this.#held
    const isEnough = known !== undefined && known.offset >= firstOffset - 1
    this.#held = known
    this.#state = isEnough ? known : undefined
    const from = isEnough ? known.offset + 1 : firstOffset
    this.options.post({ kind: 'records', from, records: [], nextOffset, firstOffset })
    this.#follower.follow(from)
  }

  #restore (event: Extract<StreamEvent, { kind: 'records' }>): LogRecord[] {
    this.#backlog.push(...event.records)
    const readTo = event.from + event.records.length
    if (readTo < event.nextOffset) return []
    this.#state = restoreCellState(this.#backlog, this.#firstOffset, this.#held)
    if (this.#state === undefined) return []
    const records = this.#backlog
    this.#backlog = []
    return records
  }
}
