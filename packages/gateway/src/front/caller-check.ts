/**
 * Decides whether to check that a caller is still connected before its request is sent on. A request may have waited for this
 * process while its caller closed the connection. On a new connection, the wait was in the accept queue, whose length this process
 * can't read. On a kept-alive connection, it is at most the delay of the event loop.
 */
import type { Socket } from 'node:net'
import type { LoopLag } from './loop-lag.js'

/** Delay of the event loop from which requests on kept-alive connections are checked. */
const LAG_THRESHOLD_MS = 100

export class CallerCheck {
  readonly #knownSockets = new WeakSet<Socket>()

  private constructor (private readonly lag: LoopLag) {}

  static create (lag: LoopLag): CallerCheck {
    return new CallerCheck(lag)
  }

  /** Must be called once for each request on `socket`. */
  isNeeded (socket: Socket): boolean {
    const isNew = !this.#knownSockets.has(socket)
    this.#knownSockets.add(socket)
    return isNew || this.lag.currentMs() >= LAG_THRESHOLD_MS
  }
}

/** The caller has closed its side of the connection. */
export function hasDisconnected (socket: Socket): boolean {
  return socket.destroyed || socket.readableEnded
}

/** Calls back after the event loop has polled the sockets once more, so that a close in their buffers has been read. */
export function afterNextPoll (callback: () => void): void {
  // The first callback runs after the reads of the current turn, the second one after those of the next turn.
  setImmediate(() => setImmediate(callback))
}
