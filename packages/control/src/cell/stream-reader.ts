/** Reads a cell's stream into its state, starting from the first record, from a snapshot, or from a peer's state. */
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
  /** Receives the follower's events in order; the caller passes each to `apply`. */
  post: (event: StreamEvent) => void
}

/** Position in a stream and the state up to that position. */
export class StreamReader {
  readonly #follower: StreamFollower
  #state: CellState | undefined
  /** Own or peer's earlier state, from which `restoreCellState` may start. */
  #knownState: CellState | undefined
  #backlog: LogRecord[] = []
  #firstOffset = 1
  #stopped = false

  private constructor (private readonly options: StreamReaderOptions) {
    this.#follower = StreamFollower.create({ ...options, onEvent: (event) => options.post(event) })
  }

  static create (options: StreamReaderOptions): StreamReader {
    return new StreamReader(options)
  }

  /** State up to the last applied record; undefined until it is complete. */
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

  /** Applies an event and returns the records that advanced the state, oldest first. */
  apply (event: StreamEvent): LogRecord[] {
    if (event.kind === 'failed') return []
    if (event.kind === 'truncated') {
      this.#restart()
      return []
    }
    if (this.#state === undefined) return this.#restore(event)
    const newRecords = event.records.filter(({ offset }) => offset > (this.#state?.offset ?? 0))
    for (const record of newRecords) this.#state = applyCellRecord(this.#state, record)
    return newRecords
  }

  /** Adopts a peer's state if its offset is higher, and reads the stream on from there. Returns whether it replaced the state. */
  adoptPeerState (state: CellState): boolean {
    if (this.#state === undefined) {
      this.#knownState = this.#knownState === undefined ? state : adoptSnapshot(this.#knownState, state)
      this.#restart()
      return false
    }
    const adopted = adoptSnapshot(this.#state, state)
    if (adopted === this.#state) return false
    this.#state = adopted
    this.#follower.follow(adopted.offset + 1)
    return true
  }

  /** Reads on from the known state if the log still keeps the records after it, else from the oldest kept record. */
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
    const known = this.#state ?? this.#knownState
    const isEnough = known !== undefined && known.offset >= firstOffset - 1
    this.#knownState = known
    this.#state = isEnough ? known : undefined
    const from = isEnough ? known.offset + 1 : firstOffset
    this.options.post({ kind: 'records', from, records: [], nextOffset, firstOffset })
    this.#follower.follow(from)
  }

  #restore (event: Extract<StreamEvent, { kind: 'records' }>): LogRecord[] {
    this.#backlog.push(...event.records)
    const readOffset = event.from + event.records.length
    if (readOffset < event.nextOffset) return []
    this.#state = restoreCellState(this.#backlog, this.#firstOffset, this.#knownState)
    if (this.#state === undefined) return []
    const records = this.#backlog
    this.#backlog = []
    return records
  }
}
