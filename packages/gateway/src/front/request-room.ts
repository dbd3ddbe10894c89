/**
 * Decides whether a further request of a connection may be read while others of it wait for their answers. It answers callers that
 * send many requests without reading an answer: each request that is read keeps memory and processor time until its end, so what is
 * sent ahead stays in the connection. The first request of a connection is always read, so every caller is served in turn.
 */

/** Most requests that may be in progress behind the first one of their connection. */
export type RequestRoomLimits = {
  perConnection: number
  /** Of all connections from one address. */
  perAddress: number
  /** Of all connections of the process. */
  total: number
}

/** Libraries and proxies that send ahead do so with a few. Callers of one address can't take the runners' slots by it. */
const DEFAULT_LIMITS: RequestRoomLimits = { perConnection: 7, perAddress: 64, total: 256 }

/** Whose limit is met. */
export const AheadLimit = {
  Connection: 'connection',
  Address: 'address',
  Process: 'process'
} as const
export type AheadLimit = (typeof AheadLimit)[keyof typeof AheadLimit]

export class RequestRoom {
  readonly #aheadByAddress = new Map<string, number>()
  #ahead = 0

  private constructor (private readonly limits: RequestRoomLimits) {}

  static create (limits: RequestRoomLimits = DEFAULT_LIMITS): RequestRoom {
    return new RequestRoom(limits)
  }

  /** Requests in progress behind the first ones of their connections. */
  get ahead (): number {
    return this.#ahead
  }

  /** @param openRequests requests of the connection in progress @returns the limit that is met; undefined: another one may be read */
  limitMet (address: string, openRequests: number): AheadLimit | undefined {
    if (openRequests === 0) return undefined
    if (openRequests > this.limits.perConnection) return AheadLimit.Connection
    if (this.#ahead >= this.limits.total) return AheadLimit.Process
    return this.#aheadOf(address) >= this.limits.perAddress ? AheadLimit.Address : undefined
  }

  /** A request of a connection with so many others in progress was read. */
  onRead (address: string, othersOpen: number): void {
    if (othersOpen > 0) this.#add(address, 1)
  }

  /** A request of a connection with so many others in progress has its answer. */
  onAnswered (address: string, othersOpen: number): void {
    if (othersOpen > 0) this.#add(address, -1)
  }

  /** A connection closed with so many requests in progress. */
  onClosed (address: string, openRequests: number): void {
    if (openRequests > 1) this.#add(address, 1 - openRequests)
  }

  #aheadOf (address: string): number {
    return this.#aheadByAddress.get(address) ?? 0
  }

  #add (address: string, count: number): void {
    this.#ahead += count
    const ahead = this.#aheadOf(address) + count
    if (ahead === 0) this.#aheadByAddress.delete(address)
    else this.#aheadByAddress.set(address, ahead)
  }
}
