/**
 * A limit on the bytes of one kind that this process keeps for all requests together. Where there is no room left, the largest
 * holder of the owner that keeps most gives way, so an owner without end can't take the room of the others.
 */

/** What the kept bytes are. */
export const ByteKind = {
  /** Answers of runners, until their callers have them. The owner is the runner. */
  Answers: 'answers',
  /** Bodies of callers' requests, until the request ends. The owner is the caller's address. */
  Requests: 'requests',
  /** Requests and answers on their way to and from other hosts. The owner is the runner, or the other host's address. */
  Hop: 'hop',
  /** Reports and other calls between hosts, without requests that are passed on. The owner is the other host's address. */
  Messages: 'messages'
} as const
export type ByteKind = (typeof ByteKind)[keyof typeof ByteKind]

/**
 * Bytes that every holder may keep without room: the usual answer or body is smaller and is never turned away. The number of holders
 * is limited by the connections of the process.
 */
export const FREE_BYTES = 16_384
/** Fraction of the limit from which on the use is reported. */
const NEARLY_FULL = 0.8

/** The owner that keeps most, for the log. */
export type LargestOwner = { owner: string, bytes: number, holders: number }

export type ByteBudgetOptions = {
  /** Label in metrics. */
  kind: string
  limitBytes: number
  /** Called when the use rises above four fifths of the limit, and when it has fallen below half and rises again. */
  onNearlyFull: (usedBytes: number, largest: LargestOwner) => void
  /** Called for each holder that has to give way or gets no room. */
  onRefused: (owner: string, bytes: number) => void
}

export class ByteBudget {
  readonly #owners = new Map<string, Set<ByteHold>>()
  #usedBytes = 0
  #isReported = false

  private constructor (readonly options: ByteBudgetOptions) {}

  static create (options: ByteBudgetOptions): ByteBudget {
    return new ByteBudget(options)
  }

  /** A budget without a limit, for code that runs outside of a gateway process. */
  static unlimited (kind: ByteKind): ByteBudget {
    return new ByteBudget({ kind, limitBytes: Infinity, onNearlyFull: () => {}, onRefused: () => {} })
  }

  /** Bytes that are kept beyond what is free for each holder. */
  get usedBytes (): number {
    return this.#usedBytes
  }

  get limitBytes (): number {
    return this.options.limitBytes
  }

  /** No room is left beyond what is free for each holder. */
  get isFull (): boolean {
    return this.#usedBytes >= this.options.limitBytes
  }

  /** @param onGiveWay called when the holder has to give up what it keeps; the hold is closed then */
  open (owner: string, onGiveWay: () => void): ByteHold {
    const hold = new ByteHold(this, owner, onGiveWay)
    const holds = this.#owners.get(owner)
    if (holds === undefined) this.#owners.set(owner, new Set([hold]))
    else holds.add(hold)
    return hold
  }

  /** Makes room for a hold that grows by these bytes. @returns false if it is itself the one that has to give way */
  reserve (hold: ByteHold, bytes: number): boolean {
    while (this.#usedBytes + bytes > this.options.limitBytes) {
      const victim = this.#victim(hold, bytes)
      this.options.onRefused(victim.owner, victim.bytes)
      if (victim === hold) return false
      victim.giveWay()
    }
    this.#usedBytes += bytes
    this.#report()
    return true
  }

  /** Counts bytes that are kept whether there is room for them or not. */
  count (bytes: number): void {
    this.#usedBytes += bytes
    this.#report()
  }

  release (bytes: number): void {
    this.#usedBytes -= bytes
    if (this.#usedBytes < this.options.limitBytes / 2) this.#isReported = false
  }

  remove (hold: ByteHold): void {
    const holds = this.#owners.get(hold.owner)
    holds?.delete(hold)
    if (holds?.size === 0) this.#owners.delete(hold.owner)
  }

  /** The largest hold, of those that may give way, of the owner that keeps most of them. */
  #victim (growing: ByteHold, bytes: number): ByteHold {
    const sizeOf = (hold: ByteHold) => hold === growing ? hold.countedBytes + bytes : hold.countedBytes
    let victim = growing
    let mostBytes = 0
    for (const holds of this.#owners.values()) {
      const candidates = [...holds].filter(({ isFixed }) => !isFixed)
      const ownerBytes = candidates.reduce((sum, hold) => sum + sizeOf(hold), 0)
      if (ownerBytes <= mostBytes) continue
      mostBytes = ownerBytes
      victim = candidates.reduce((largest, hold) => sizeOf(hold) > sizeOf(largest) ? hold : largest)
    }
    return victim
  }

  #report (): void {
    if (this.#isReported || this.#usedBytes < this.options.limitBytes * NEARLY_FULL) return
    this.#isReported = true
    this.options.onNearlyFull(this.#usedBytes, this.#largestOwner())
  }

  #largestOwner (): LargestOwner {
    const owners = [...this.#owners].map(([owner, holds]) => ({ owner, holders: holds.size, bytes: [...holds].reduce((sum, { bytes }) => sum + bytes, 0) }))
    return owners.reduce((largest, owner) => owner.bytes > largest.bytes ? owner : largest)
  }
}

/** The bytes that one answer, body or queue keeps. */
export class ByteHold {
  #bytes = 0
  #isFixed = false
  #isClosed = false

  /** Use `ByteBudget.open`. */
  constructor (private readonly budget: ByteBudget, readonly owner: string, private onGiveWay: () => void) {}

  get bytes (): number {
    return this.#bytes
  }

  /** Bytes that count against the budget. */
  get countedBytes (): number {
    return Math.max(0, this.#bytes - FREE_BYTES)
  }

  /** It no longer gives way to others. */
  get isFixed (): boolean {
    return this.#isFixed
  }

  /** Counts bytes before they are kept. @returns false if there is no room for them; nothing is counted then */
  take (bytes: number): boolean {
    if (this.#isClosed) return false
    const growth = Math.max(0, this.#bytes + bytes - FREE_BYTES) - this.countedBytes
    if (growth > 0 && !this.budget.reserve(this, growth)) return false
    // Another holder that gave way may have ended this one.
    if (this.#isClosed) {
      this.budget.release(growth)
      return false
    }
    this.#bytes += bytes
    return true
  }

  /** Counts bytes that were read already, also beyond the limit. The holder reads no more while `isFull`. */
  add (bytes: number): void {
    if (this.#isClosed) return
    const before = this.countedBytes
    this.#bytes += bytes
    this.budget.count(this.countedBytes - before)
  }

  /** It keeps more than is free, and the budget has no room left. */
  get isFull (): boolean {
    return this.countedBytes > 0 && this.budget.isFull
  }

  giveBack (bytes: number): void {
    const before = this.countedBytes
    this.#bytes = Math.max(0, this.#bytes - bytes)
    this.budget.release(before - this.countedBytes)
  }

  /** What it keeps is complete. @param onGiveWay called from now on when it has to give up what it keeps */
  settle (onGiveWay: () => void): void {
    this.onGiveWay = onGiveWay
  }

  /** What it keeps is complete and is needed until it is closed. */
  fix (): void {
    this.#isFixed = true
  }

  /** Gives back everything; it takes no more. */
  close (): void {
    if (this.#isClosed) return
    this.#isClosed = true
    this.giveBack(this.#bytes)
    this.budget.remove(this)
  }

  /** Called by the budget. */
  giveWay (): void {
    this.close()
    this.onGiveWay()
  }
}
