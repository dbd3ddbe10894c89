/**
 * Keeps callers from taking the descriptors that this process needs for runners, the store and other hosts: where there are more
 * connections than the callers' share, those that have been idle for longest are closed.
 */
import type { Socket } from 'node:net'
import { afterNextPoll } from './caller-check.js'

/** Files and pipes of the process. */
const RESERVED_FOR_FILES = 200
/** Connections of other hosts and to them, of the store, and of the platform's checks. */
const RESERVED_FOR_HOSTS = 300
/** A request in progress takes one connection of a caller and one to a runner. */
const CALLERS_FRACTION = 1 / 2
/** Callers whose requests all are in progress may have more: some of these wait without a connection to a runner. */
const MAX_FRACTION = 3 / 4
/** With fewer descriptors than the process needs, some callers are still served. */
const MIN_SHARE = 16
/** Connections that are closed when none can be accepted. */
const CLOSED_AT_ONCE = 16

/** Numbers of connections of callers. */
export type CallerShare = {
  /** Above this, the longest idle ones are closed. */
  share: number
  /** Above this, new ones are refused. */
  most: number
}

/** @param maxDescriptors limit of the process */
export function shareOfCallers (maxDescriptors: number): CallerShare {
  const connections = maxDescriptors - RESERVED_FOR_FILES - RESERVED_FOR_HOSTS
  const part = (fraction: number) => Math.max(MIN_SHARE, Math.floor(connections * fraction))
  return { share: part(CALLERS_FRACTION), most: part(MAX_FRACTION) }
}

export class ConnectionRoom {
  readonly #open = new Set<Socket>()
  /** Connections without a request in progress, longest idle first, with the bytes that were read from each until then. */
  readonly #idle = new Map<Socket, number>()
  readonly #closing = new Set<Socket>()

  private constructor (private readonly share: number, private readonly onClosed: () => void) {}

  /** @param onClosed called for each idle connection that is closed */
  static create (share: number, onClosed: () => void): ConnectionRoom {
    return new ConnectionRoom(share, onClosed)
  }

  add (socket: Socket): void {
    this.#open.add(socket)
    this.#closeIdle(this.#open.size - this.#closing.size - this.share)
    this.onIdle(socket)
  }

  remove (socket: Socket): void {
    this.#open.delete(socket)
    this.#idle.delete(socket)
    this.#closing.delete(socket)
  }

  onBusy (socket: Socket): void {
    this.#idle.delete(socket)
  }

  onIdle (socket: Socket): void {
    if (!this.#open.has(socket)) return
    this.#idle.delete(socket)
    this.#idle.set(socket, socket.bytesRead)
  }

  /** The process has no descriptor left for a new connection. */
  onNoDescriptor (): void {
    this.#closeIdle(CLOSED_AT_ONCE)
  }

  isClosing (socket: Socket): boolean {
    return this.#closing.has(socket)
  }

  #closeIdle (count: number): void {
    let left = count
    for (const [socket, bytesRead] of this.#idle) {
      if (left <= 0) return
      if (this.#closing.has(socket) || socket.bytesRead !== bytesRead) continue
      left -= 1
      this.#close(socket, bytesRead)
    }
  }

  /** Closes a connection, unless a request has arrived that this process was too busy to read. */
  #close (socket: Socket, bytesRead: number): void {
    this.#closing.add(socket)
    afterNextPoll(() => {
      const isIdle = this.#idle.get(socket) === bytesRead && socket.bytesRead === bytesRead
      if (!isIdle) {
        this.#closing.delete(socket)
        return
      }
      this.onClosed()
      socket.destroy()
    })
  }
}
