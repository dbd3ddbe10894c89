/**
 * Acquires, renews and releases the lease on orders. Not all runners check fencing tokens, so a successor waits until its
 * predecessor's lease has expired by any host's clock, and then for the minimum gap between orders of two holders.
 */
import type { Clock, Logger, Timer } from '@figloom/runtime'
import { eraOf, offsetOf, type Position } from '../eras/position.js'
import type { Instant, InstantSource } from './instant.js'
import { AppendOutcome, LeaseRecordKind, type LeaseLog, type LeaseRecord, type LeaseTail } from './types.js'

/** Era of a platform that has not come back from a copy yet, and of records that name none. */
const FIRST_ERA = 1
/** A lease expires this long after the holder sent its last successful renewal. */
export const LEASE_DURATION_MS = 1_800
/** Margin for clock drift and delays that a successor adds to the lease duration. */
const EXPIRY_MARGIN_MS = 300
const RENEW_INTERVAL_MS = 600
const STEP_INTERVAL_MS = 150
/** A holder that can't renew for this long gives the lease up, so that a host that reaches the log can claim it. */
const GIVE_UP_AFTER_MS = 1_300
/** Delay before a host that gave the lease up may claim it again, so that others can claim it first. */
const RECLAIM_DELAY_MS = 3_000
/** Interval between reads of the log by a host that doesn't hold the lease. It skips the read while a live holder reports to it. */
const WATCH_INTERVAL_MS = 400
/** A host lets a recently restarted one claim the lease first for this long, in which that host reads the log once. */
const DEFER_TO_RESTARTED_MS = WATCH_INTERVAL_MS

export type LeaseParts = {
  clock: Clock
  instants: InstantSource
  log: Logger
  leaseLog: LeaseLog
  host: string
  incarnation: string
  /** Minimum time between orders of two holders. */
  orderGapMs: number
  /** Whether another host that holds the lease reported recently. */
  holderIsLive: () => boolean
  /**
   * Milliseconds since the last order under a token, as its holder reported. Undefined if the holder hasn't reported recently,
   * hasn't reported that it gave the lease up, or gave no order under it.
   */
  lastOrderAgoMs: (fencingToken: number) => number | undefined
  /** Whether another host restarted recently: in a rolling restart that host will stay up longer than this one. */
  hasRestartedPeer: () => boolean
  /** Whether this host may claim the lease now. */
  mayClaim: () => boolean
  /** Whether this host doesn't reach the runners and another host, which does, may claim the lease. */
  mustYield: () => boolean
  /** Called when this host has given the lease up while it goes on, so that others learn it at once. */
  onYielded: () => void
  /** The highest era of the platform's history that this host has heard of. */
  era: () => number
}

type Holding = { fencingToken: number, claimedAt: Instant, renewedAt: Instant, ordersAllowedFromMs: number }
/** State of a lease that a host holds or held, as it reports it to other hosts. */
export type LeaseStatus = { held: boolean, fencingToken: number, lastOrderAgoMs: number | undefined }

type ObservedTail = { end: Position, unchangedSinceMs: number }

export class LeaseKeeper {
  #holding: Holding | undefined
  #end: Position = 0
  #observed: ObservedTail | undefined
  /** Era of the log when this process first read it. */
  #firstSeenEra: number | undefined
  #vacantSinceMs: number | undefined
  #lastOrderAt: Instant | undefined
  #fencingToken = 0
  #nextAttemptMs = 0
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
    if (this.parts.instants.elapsedMs(holding.renewedAt) >= LEASE_DURATION_MS) return undefined
    if (this.parts.clock.monotonicMs() < holding.ordersAllowedFromMs) return undefined
    // In a new era another host may hold the lease by records that this host hasn't read yet.
    if (eraOf(holding.fencingToken) !== this.parts.era()) return undefined
    return holding.fencingToken
  }

  /** Whether this host holds the lease, even if it may not give orders yet. */
  get holds (): boolean {
    return this.#holding !== undefined && this.parts.instants.elapsedMs(this.#holding.renewedAt) < LEASE_DURATION_MS
  }

  /** What this host reports to others. Once it reports that it doesn't hold the lease, it gives no more orders under it. */
  status (): LeaseStatus {
    const lastOrderAgoMs = this.#lastOrderAt === undefined ? undefined : this.parts.instants.elapsedMs(this.#lastOrderAt)
    return { held: this.#holding !== undefined, fencingToken: this.#fencingToken, lastOrderAgoMs }
  }

  /** Records that an order is being sent. */
  onOrder (): void {
    this.#lastOrderAt = this.parts.instants.now()
  }

  /** Stops giving orders and records this in the log, so that a successor needn't wait for the lease to expire. */
  async release (): Promise<void> {
    const holding = this.#holding
    this.#holding = undefined
    this.stop()
    if (holding !== undefined) await this.#appendRelease(holding)
  }

  async #appendRelease (holding: Holding): Promise<void> {
    const ordering = this.parts.clock.monotonicMs() >= holding.ordersAllowedFromMs
    const successorWaitMs = this.#successorWaitMs(holding)
    const record = { ...this.#record(LeaseRecordKind.Release, holding.fencingToken, ordering), successorWaitMs }
    const outcome = await this.parts.leaseLog.append(this.#end, record)
    this.parts.log.info('order lease released', { outcome, successorWaitMs })
  }

  /**
   * How long a successor has to wait: the rest of this host's own wait, or of the gap after its last order. If it gave no order,
   * the gap starts at its claim, since its earlier incarnation may have given orders until then.
   */
  #successorWaitMs (holding: Holding): number {
    const { clock, instants, orderGapMs } = this.parts
    const ownWaitMs = holding.ordersAllowedFromMs - clock.monotonicMs()
    if (ownWaitMs > 0) return ownWaitMs
    return Math.max(0, orderGapMs - instants.elapsedMs(this.#lastOrderAt ?? holding.claimedAt))
  }

  /** Renews the lease, or checks whether it can be claimed. The timer calls this as well. */
  async step (): Promise<void> {
    if (this.#busy || this.#stopped) return
    this.#busy = true
    try {
      if (this.#holding !== undefined && this.parts.mustYield()) await this.#yield(this.#holding)
      else if (this.#holding !== undefined) await this.#renew(this.#holding)
      else await this.#watch()
    } catch (error) {
      this.parts.log.warn('lease log is unreachable', { reason: (error as Error).message })
      this.#nextAttemptMs = Math.max(this.#nextAttemptMs, this.parts.clock.monotonicMs() + WATCH_INTERVAL_MS)
    }
    this.#giveUpIfNotRenewed()
    this.#busy = false
  }

  /** Orders of a host that doesn't reach the runners go nowhere. Others may claim the lease before this host does so again. */
  async #yield (holding: Holding): Promise<void> {
    this.#holding = undefined
    this.#nextAttemptMs = this.parts.clock.monotonicMs() + RECLAIM_DELAY_MS
    this.parts.log.warn('order lease given up: this host is cut off from runners', { fencingToken: holding.fencingToken })
    this.parts.onYielded()
    await this.#appendRelease(holding)
  }

  /** Without the log the lease expires anyway. Giving it up now, which reports show, spares a successor the wait for expiry. */
  #giveUpIfNotRenewed (): void {
    const holding = this.#holding
    if (holding === undefined || this.parts.instants.elapsedMs(holding.renewedAt) < GIVE_UP_AFTER_MS) return
    this.#holding = undefined
    this.#nextAttemptMs = this.parts.clock.monotonicMs() + RECLAIM_DELAY_MS
    this.parts.log.warn('order lease given up: it could not be renewed', { fencingToken: holding.fencingToken })
  }

  #schedule (): void {
    if (this.#stopped) return
    this.#timer = this.parts.clock.setTimer(STEP_INTERVAL_MS, () => {
      this.step().finally(() => this.#schedule())
    })
  }

  async #renew (holding: Holding): Promise<void> {
    const { clock, instants, leaseLog } = this.parts
    if (clock.monotonicMs() < this.#nextAttemptMs) return
    const sentAt = instants.now()
    const ordering = clock.monotonicMs() >= holding.ordersAllowedFromMs
    const outcome = await leaseLog.append(this.#end, this.#record(LeaseRecordKind.Renewal, holding.fencingToken, ordering))
    if (this.#holding !== holding) return
    if (outcome === AppendOutcome.Appended) {
      this.#end += 1
      holding.renewedAt = sentAt
      this.#nextAttemptMs = clock.monotonicMs() + RENEW_INTERVAL_MS
      return
    }
    await this.#verifyHolding(holding)
  }

  /** After a renewal that failed or went unanswered: the lease is still held only if no other host has written since. */
  async #verifyHolding (holding: Holding): Promise<void> {
    const tail = await this.parts.leaseLog.readTail()
    if (this.#holding !== holding) return
    this.#end = tail.end
    const isOwn = tail.last?.incarnation === this.parts.incarnation && tail.last.kind !== LeaseRecordKind.Release
    const isNewEra = eraOf(tail.end) > eraOf(holding.fencingToken)
    if (this.#isFromEarlierEra(tail) || (isOwn && isNewEra)) return await this.#claimAgain(holding, tail)
    if (isOwn) return
    this.#holding = undefined
    this.parts.log.warn('order lease lost', { holder: tail.last?.holder, end: tail.end })
  }

  /**
   * After the log came back from an older copy. While this host's lease is valid, no other host can have claimed it in the era
   * before, and in the new one others wait for as long as such a lease may last.
   */
  async #claimAgain (holding: Holding, tail: LeaseTail): Promise<void> {
    const { clock, instants, log } = this.parts
    if (instants.elapsedMs(holding.renewedAt) >= LEASE_DURATION_MS) return
    const before = { lastOrderAt: this.#lastOrderAt, fencingToken: holding.fencingToken }
    await this.#claim(tail, Math.max(0, holding.ordersAllowedFromMs - clock.monotonicMs()))
    if (this.#holding === undefined || this.#holding === holding) return
    this.#lastOrderAt = before.lastOrderAt
    log.info('order lease proved in the new era', { fencingToken: this.#holding.fencingToken, before: before.fencingToken })
  }

  async #watch (): Promise<void> {
    const { clock, holderIsLive, mayClaim, leaseLog } = this.parts
    const nowMs = clock.monotonicMs()
    if (nowMs < this.#nextAttemptMs) return
    this.#nextAttemptMs = nowMs + WATCH_INTERVAL_MS
    if (holderIsLive() || !mayClaim()) {
      this.#observed = undefined
      this.#vacantSinceMs = undefined
      return
    }
    this.#vacantSinceMs ??= nowMs
    if (nowMs - this.#vacantSinceMs < DEFER_TO_RESTARTED_MS && this.parts.hasRestartedPeer()) return
    const tail = await leaseLog.readTail()
    const waitMs = this.#waitBeforeClaim(tail)
    if (waitMs === undefined) return
    await this.#claim(tail, waitMs)
  }

  /** How long the first order has to wait after a claim made now; undefined if the lease can't be claimed yet. */
  #waitBeforeClaim (tail: LeaseTail): number | undefined {
    const { host, orderGapMs } = this.parts
    if (this.#isFromEarlierEra(tail)) return this.#isUnchangedLong(tail) ? orderGapMs : undefined
    if (tail.last === undefined && offsetOf(tail.end) === 0) return 0
    // A restarted host succeeds itself, but its earlier incarnation may still have been waiting after another host's orders.
    if (tail.last?.holder === host) return tail.last.ordering ? 0 : orderGapMs
    const lastOrderAgoMs = tail.last === undefined ? undefined : this.parts.lastOrderAgoMs(tail.last.fencingToken)
    if (lastOrderAgoMs !== undefined) return Math.max(0, orderGapMs - lastOrderAgoMs)
    if (tail.last?.kind === LeaseRecordKind.Release) return tail.last.successorWaitMs ?? orderGapMs
    return this.#isUnchangedLong(tail) ? orderGapMs : undefined
  }

  /** Whether a lease that a host holds by the records that this host sees, or by lost ones, has expired. */
  #isUnchangedLong ({ end }: LeaseTail): boolean {
    const nowMs = this.parts.clock.monotonicMs()
    if (this.#observed?.end !== end) this.#observed = { end, unchangedSinceMs: nowMs }
    return nowMs - this.#observed.unchangedSinceMs > LEASE_DURATION_MS + EXPIRY_MARGIN_MS
  }

  /**
   * The platform came back from an older copy since the last record was written, and records after it may have been lost. An
   * empty log shows that only if the era isn't the first one.
   */
  #isFromEarlierEra ({ end, last }: LeaseTail): boolean {
    const era = eraOf(end)
    this.#firstSeenEra ??= era
    if (last !== undefined) return (last.era ?? FIRST_ERA) < era
    return offsetOf(end) === 0 && (era > FIRST_ERA || era > this.#firstSeenEra)
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
    this.#holding = { fencingToken: this.#fencingToken, claimedAt: sentAt, renewedAt: sentAt, ordersAllowedFromMs: nowMs + waitMs }
    this.#vacantSinceMs = undefined
    this.#nextAttemptMs = nowMs + RENEW_INTERVAL_MS
    log.info('order lease taken', { fencingToken: this.#fencingToken, earlierHolder: tail.last?.holder, ordersInMs: waitMs })
  }

  #record (kind: LeaseRecordKind, fencingToken: number, ordering: boolean): LeaseRecord {
    return { kind, holder: this.parts.host, incarnation: this.parts.incarnation, fencingToken, ordering }
  }
}
