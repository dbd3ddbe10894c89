/** Counts and logs what a host doesn't read or accept because its callers have met a limit of its listeners. */
import { Counter, type Clock, type Logger, type Registry } from '@figloom/runtime'
import { createRoomCounter } from '../serve/metrics.js'
import type { RoomEvent, WaitReason } from './http-server.js'

/** Shortest time between two lines, for all listeners together. */
const LOG_INTERVAL_MS = 1_000

export const ListenerName = {
  Callers: 'callers',
  Lookups: 'lookups',
  Readiness: 'readiness',
  Hosts: 'hosts'
} as const
export type ListenerName = (typeof ListenerName)[keyof typeof ListenerName]

export class LimitedCallers {
  readonly #waits: Counter<'listener' | 'limit'>
  readonly #room: Counter<'event'>
  #lastLineMs = -Infinity
  /** Since the last line. */
  #times = 0

  private constructor (private readonly clock: Clock, private readonly log: Logger, registry: Registry) {
    this.#waits = new Counter({
      name: 'figloom_gateway_requests_ahead_limited_total',
      help: 'Times that a connection was not read on, by the limit on requests sent ahead of their answers that it met.',
      labelNames: ['listener', 'limit'],
      registers: [registry]
    })
    this.#room = createRoomCounter(registry)
  }

  static create (clock: Clock, log: Logger, registry: Registry): LimitedCallers {
    return new LimitedCallers(clock, log, registry)
  }

  /** A connection from this address isn't read on. */
  onWait (listener: ListenerName, reason: WaitReason, callerAddress: string): void {
    this.#waits.inc({ listener, limit: reason })
    this.#note({ listener, limit: `requests ahead: ${reason}`, callerAddress })
  }

  /** A connection was closed or not accepted so that the process has descriptors left. */
  onRoom (listener: ListenerName, event: RoomEvent): void {
    this.#room.inc({ event })
    this.#note({ listener, limit: `connections: ${event}` })
  }

  #note (fields: Record<string, string>): void {
    this.#times += 1
    const nowMs = this.clock.monotonicMs()
    if (nowMs - this.#lastLineMs < LOG_INTERVAL_MS) return
    this.log.warn('callers limited', { ...fields, times: this.#times })
    this.#lastLineMs = nowMs
    this.#times = 0
  }
}
