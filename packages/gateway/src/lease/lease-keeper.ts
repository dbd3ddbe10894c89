/**
 * Takes, keeps and gives up the lease on orders. Runners don't all check fencing tokens, so a successor waits until
 * the lease of its predecessor has run out by any clock, and besides for the time that has to lie between orders of
 * two holders.
 */
import type { Clock, Logger, Timer } from '@figloom/runtime'
import type { Instant, InstantSource } from './instant.js'
import { AppendOutcome, LeaseRecordKind, type LeaseLog, type LeaseRecord, type LeaseTail } from './types.js'

/** A lease ends this long after the sending of its last renewal. */
export const LEASE_MS = 1_800
/** Difference of the clocks' speeds and delays that a successor allows for. */
const EXPIRY_MARGIN_MS = 300
const RENEW_MS = 600
const TICK_MS = 150
/** A holder that couldn't renew for this long gives the lease up, so that a host that reaches the log can take it. */
const GIVE_UP_MS = 1_300
/** Pause after giving up, in which others may claim. */
const STAND_BACK_MS = 3_000
/** While a live holder is in direct contact, the log isn't read. */
const WATCH_MS = 400
/** A host leaves the lease to one that restarted of late for this long: for one look of that host at the log. */
const DEFER_MS = WATCH_MS

export type LeaseParts = {
  clock: Clock
  instants: InstantSource
  log: Logger
  leaseLog: LeaseLog
  host: string
  incarnation: string
  /** Time that has to pass between orders of two holders. */
  orderGapMs: number
  /** Another host that says it holds the lease was heard of late. */
  holderIsLive: () => boolean
  /**
   * Time since the last order under a token by its holder's own word; undefined if the holder wasn't heard of late,
   * hasn't said that it gave the lease up, or gave no order under it.
   */
  lastOrderUnder: (fencingToken: number) => number | undefined
  /** Another host started anew of late: while hosts are stopped in turn, it stays longer than this one. */
  hasRestartedPeer: () => boolean
  /** Whether this host may take the lease now. */
  mayHold: () => boolean
}

type Holding = { fencingToken: number, claimedAt: Instant, renewedAt: Instant, ordersFromMs: number }
/** What a host says of a lease that it held or holds. */
export type OwnLease = { held: boolean, fencingToken: number, lastOrderAgoMs: number | undefined }

type Observation = { end: number, sinceMs: number }

export class LeaseKeeper {
  #holding: Holding | undefined
  #end = 0
  #observed: Observation | undefined
  #vacantSinceMs: number | undefined
  #lastOrderAt: Instant | undefined
  #fencingToken = 0
  #nextMs = 0
  #busy = false
  #timer: Timer | undefined
  #stopped = false

  private constructor (private readonly parts: LeaseParts) {}

  static create (parts: LeaseParts): LeaseKeeper {
    return new LeaseKeeper(parts)
  }

  start (): void {
    this.#schedule()
  }

  stop (): void {
    this.#stopped = true
    this.#timer?.cancel()
  }

  /** The token of this host's lease if it may give orders at this moment. */
  orderToken (): number | undefined {
    const holding = this.#holding
    if (holding === undefined || this.#stopped) return undefined
    if (this.parts.instants.elapsedMs(holding.renewedAt) >= LEASE_MS) return undefined
    if (this.parts.clock.monotonicMs() < holding.ordersFromMs) return undefined
    return holding.fencingToken
  }

  /** Whether this host holds the lease, also while it may not give orders yet. */
  get holds (): boolean {
    return this.#holding !== undefined && this.parts.instants.elapsedMs(this.#holding.renewedAt) < LEASE_MS
  }

  /** What other hosts are told. A host that doesn't hold the lease gives no order under it any more. */
  describe (): OwnLease {
    const lastOrderAgoMs = this.#lastOrderAt === undefined ? undefined : this.parts.instants.elapsedMs(this.#lastOrderAt)
    return { held: this.#holding !== undefined, fencingToken: this.#fencingToken, lastOrderAgoMs }
  }

  /** Notes that an order is being sent. */
  onOrder (): void {
    this.#lastOrderAt = this.parts.instants.now()
  }

  /** Gives no order any more and says so in the log, so that a successor needn't wait for the lease to run out. */
  async release (): Promise<void> {
    const holding = this.#holding
    this.#holding = undefined
    this.stop()
    if (holding === undefined) return
    const ordering = this.parts.clock.monotonicMs() >= holding.ordersFromMs
    const successorWaitMs = this.#successorWaitMs(holding)
    const record = { ...this.#record(LeaseRecordKind.Release, holding.fencingToken, ordering), successorWaitMs }
    const outcome = await this.parts.leaseLog.append(this.#end, record)
    this.parts.log.info('order lease released', { outcome, successorWaitMs })
  }

  /** What is left of this host's own wait, or of the gap behind its last order; an earlier life may have ordered until the claim. */
  #successorWaitMs (holding: Holding): number {
    const { clock, instants, orderGapMs } = this.parts
    const ownWaitMs = holding.ordersFromMs - clock.monotonicMs()
    if (ownWaitMs > 0) return ownWaitMs
    return Math.max(0, orderGapMs - instants.elapsedMs(this.#lastOrderAt ?? holding.claimedAt))
  }

  /** One step; also called by the timer. */
  async step (): Promise<void> {
    if (this.#busy || this.#stopped) return
    this.#busy = true
    try {
      if (this.#holding !== undefined) await this.#keep(this.#holding)
      else await this.#watch()
    } catch (error) {
      this.parts.log.warn('log of leases is out of reach', { reason: (error as Error).message })
      this.#nextMs = this.parts.clock.monotonicMs() + WATCH_MS
    }
    this.#giveUpIfStale()
    this.#busy = false
  }

  /** Without the log the lease runs out; saying so at once spares the others the wait. */
  #giveUpIfStale (): void {
    const holding = this.#holding
    if (holding === undefined || this.parts.instants.elapsedMs(holding.renewedAt) < GIVE_UP_MS) return
    this.#holding = undefined
    this.#nextMs = this.parts.clock.monotonicMs() + STAND_BACK_MS
    this.parts.log.warn('order lease given up: it could not be renewed', { fencingToken: holding.fencingToken })
  }

  #schedule (): void {
    if (this.#stopped) return
    this.#timer = this.parts.clock.setTimer(TICK_MS, () => {
      this.step().finally(() => this.#schedule())
    })
  }

  async #keep (holding: Holding): Promise<void> {
    const { clock, instants, leaseLog } = this.parts
    if (clock.monotonicMs() < this.#nextMs) return
    const sentAt = instants.now()
    const ordering = clock.monotonicMs() >= holding.ordersFromMs
    const outcome = await leaseLog.append(this.#end, this.#record(LeaseRecordKind.Renewal, holding.fencingToken, ordering))
    if (this.#holding !== holding) return
    if (outcome === AppendOutcome.Appended) {
      this.#end += 1
      holding.renewedAt = sentAt
      this.#nextMs = clock.monotonicMs() + RENEW_MS
      return
    }
    await this.#recheck(holding)
  }

  /** After a renewal that failed or went unanswered: the lease stands only if nobody else wrote since. */
  async #recheck (holding: Holding): Promise<void> {
    const tail = await this.parts.leaseLog.readTail()
    if (this.#holding !== holding) return
    this.#end = tail.end
    if (tail.last?.incarnation === this.parts.incarnation && tail.last.kind !== LeaseRecordKind.Release) return
    this.#holding = undefined
    this.parts.log.warn('order lease lost', { holder: tail.last?.holder, end: tail.end })
  }

  async #watch (): Promise<void> {
    const { clock, holderIsLive, mayHold, leaseLog } = this.parts
    const nowMs = clock.monotonicMs()
    if (nowMs < this.#nextMs) return
    this.#nextMs = nowMs + WATCH_MS
    if (holderIsLive() || !mayHold()) {
      this.#observed = undefined
      this.#vacantSinceMs = undefined
      return
    }
    this.#vacantSinceMs ??= nowMs
    if (nowMs - this.#vacantSinceMs < DEFER_MS && this.parts.hasRestartedPeer()) return
    const tail = await leaseLog.readTail()
    const waitMs = this.#waitBeforeClaim(tail)
    if (waitMs === undefined) return
    await this.#claim(tail, waitMs)
  }

  /** How long orders have to wait behind a claim made now; undefined: the lease may not be claimed yet. */
  #waitBeforeClaim (tail: LeaseTail): number | undefined {
    const { host, orderGapMs, clock } = this.parts
    if (tail.end === 0) return 0
    // One host is one holder, but its earlier life may still have waited behind another host's orders.
    if (tail.last?.holder === host) return tail.last.ordering ? 0 : orderGapMs
    const lastOrderMs = tail.last === undefined ? undefined : this.parts.lastOrderUnder(tail.last.fencingToken)
    if (lastOrderMs !== undefined) return Math.max(0, orderGapMs - lastOrderMs)
    if (tail.last?.kind === LeaseRecordKind.Release) return tail.last.successorWaitMs ?? orderGapMs
    const nowMs = clock.monotonicMs()
    if (this.#observed?.end !== tail.end) this.#observed = { end: tail.end, sinceMs: nowMs }
    const unchangedMs = nowMs - this.#observed.sinceMs
    return unchangedMs > LEASE_MS + EXPIRY_MARGIN_MS ? orderGapMs : undefined
  }

  async #claim (tail: LeaseTail, waitMs: number): Promise<void> {
    const { clock, instants, leaseLog, log } = this.parts
    const sentAt = instants.now()
    const outcome = await leaseLog.append(tail.end, this.#record(LeaseRecordKind.Claim, tail.end + 1, waitMs === 0))
    this.#observed = undefined
    if (outcome !== AppendOutcome.Appended || this.#stopped) return
    this.#end = tail.end + 1
    const nowMs = clock.monotonicMs()
    this.#fencingToken = tail.end + 1
    this.#lastOrderAt = undefined
    this.#holding = { fencingToken: this.#fencingToken, claimedAt: sentAt, renewedAt: sentAt, ordersFromMs: nowMs + waitMs }
    this.#vacantSinceMs = undefined
    this.#nextMs = nowMs + RENEW_MS
    log.info('order lease taken', { fencingToken: this.#fencingToken, earlierHolder: tail.last?.holder, ordersInMs: waitMs })
  }

  #record (kind: LeaseRecordKind, fencingToken: number, ordering: boolean): LeaseRecord {
    return { kind, holder: this.parts.host, incarnation: this.parts.incarnation, fencingToken, ordering }
  }
}
