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
/** Lookups and messages of other hosts are answered at once; most of their connections are idle. */
const LOOKUPS_FRACTION = 1 / 8
const HOSTS_FRACTION = 1 / 4
/** Callers whose requests all are in progress may have more: some of these wait without a connection to a runner. */
const MOST_FACTOR = 3 / 2
/** The platform's own checks, one a second, some of which may leave their connections open. */
const READINESS_SHARE = 64
/** With fewer descriptors than the process needs, some callers are still served. */
const MIN_SHARE = 16
/** Connections that are closed when none can be accepted. */
const CLOSED_AT_ONCE = 16

/** Numbers of connections that one listener may have. */
export type ConnectionShare = {
  /** Above this, the longest idle ones are closed. */
  share: number
  /** Above this, new ones are refused. */
  most: number
}

/** @param maxDescriptors limit of the process */
export function shareOfCallers (maxDescriptors: number): ConnectionShare {
  return shareOf(maxDescriptors, CALLERS_FRACTION, MIN_SHARE)
}

export function shareOfLookups (maxDescriptors: number): ConnectionShare {
  return shareOf(maxDescriptors, LOOKUPS_FRACTION, MIN_SHARE)
}

export function shareOfReadiness (): ConnectionShare {
  return { share: READINESS_SHARE, most: READINESS_SHARE * MOST_FACTOR }
}

export function shareOfHosts (maxDescriptors: number): ConnectionShare {
  return shareOf(maxDescriptors, HOSTS_FRACTION, RESERVED_FOR_HOSTS)
}

function shareOf (maxDescriptors: number, fraction: number, min: number): ConnectionShare {
  const connections = maxDescriptors - RESERVED_FOR_FILES - RESERVED_FOR_HOSTS
  const part = (of: number) => Math.max(min, Math.floor(connections * of))
  return { share: part(fraction), most: part(fraction * MOST_FACTOR) }
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
