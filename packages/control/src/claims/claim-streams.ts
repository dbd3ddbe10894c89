/** Claim streams that run on this host: those that it is a gateway of, and others on demand. */
import { ClaimStream } from './claim-stream.js'
import type { ClaimStreamOptions } from './claim-stream-types.js'

export type ClaimStreamsOptions = Omit<ClaimStreamOptions, 'index' | 'gateways' | 'instance'> & {
  /** Present gateways of a stream, in order of preference. */
  gatewaysOf: (index: number) => string[]
}

const IDLE_MS = 600_000

/** Starts streams on demand and stops idle ones. */
export class ClaimStreams {
  #starts = 0
  readonly #running = new Map<number, { stream: ClaimStream, usedMs: number }>()

  #closed = false

  private constructor (private readonly options: ClaimStreamsOptions) {}

  static create (options: ClaimStreamsOptions): ClaimStreams {
    return new ClaimStreams(options)
  }

  /** Returns the stream and starts it if it does not run. */
  get (index: number): ClaimStream {
    const usedMs = this.options.clock.monotonicMs()
    const running = this.#running.get(index)
    if (running !== undefined) {
      running.usedMs = usedMs
      return running.stream
    }
    const { gatewaysOf, ...options } = this.options
    this.#starts += 1
    const stream = ClaimStream.create({ ...options, index, instance: this.#starts, gateways: () => gatewaysOf(index) })
    if (this.#closed) stream.stop()
    else this.#running.set(index, { stream, usedMs })
    return stream
  }

  /** Runs these streams, of which this host is a gateway, and stops others once idle. To be called when hosts change. */
  reconcile (indexes: readonly number[]): void {
    for (const index of indexes) this.get(index)
    const oldestMs = this.options.clock.monotonicMs() - IDLE_MS
    for (const [index, { stream, usedMs }] of this.#running) {
      if (usedMs >= oldestMs) continue
      stream.stop()
      this.#running.delete(index)
    }
  }

  /** Stops all streams for good; a stream requested later answers every claim as unavailable. */
  close (): void {
    this.#closed = true
    this.stop()
  }

  /** Stops all streams; a stream requested later starts again. */
  stop (): void {
    for (const { stream } of this.#running.values()) stream.stop()
    this.#running.clear()
  }

  stats (): { index: number, keys: number, tableBytes: number, canAnswer: boolean, pending: number }[] {
    return [...this.#running].map(([index, { stream }]) => ({ index, ...stream.stats() }))
  }
}
