/**
 * Whether to look for a caller before its request is sent on. A request may have waited for this process with its caller's close
 * behind it: on a new connection in the queue of connections to be accepted, of whose length nothing is known here; on a kept one
 * for as long as the event loop is late.
 */
import type { Socket } from 'node:net'
import type { LoopLag } from './loop-lag.js'

/** The least delay of the event loop at which requests on kept connections are late. */
const LAG_THRESHOLD_MS = 100

export class CallerCheck {
  readonly #known = new WeakSet<Socket>()

  private constructor (private readonly lag: LoopLag) {}

  static create (lag: LoopLag): CallerCheck {
    return new CallerCheck(lag)
  }

  /** Asked once for each request on `socket`. */
  isNeeded (socket: Socket): boolean {
    const isNew = !this.#known.has(socket)
    this.#known.add(socket)
    return isNew || this.lag.currentMs() >= LAG_THRESHOLD_MS
  }
}

/** The caller has closed its side of the connection. */
export function hasDisconnected (socket: Socket): boolean {
  return socket.destroyed || socket.readableEnded
}

/** Calls back when the event loop has read once more what its sockets have. */
export function afterNextPoll (callback: () => void): void {
  // The first one runs behind the reads of the present turn, the second one behind those of the next.
  setImmediate(() => setImmediate(callback))
}
