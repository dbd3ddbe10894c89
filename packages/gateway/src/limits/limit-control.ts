/**
 * Enforces the limits that runners name across all hosts: estimates each runner's limits, requests permits for this host's
 * requests, and allocates permits to the hosts for those runners that this host is responsible for. A request needs a permit
 * as soon as this host knows of a limit of its runner, on the rate of requests or on that of rejected ones.
 */
import type { Clock, Logger, Timer } from '@figloom/runtime'
import { ClosedBy, GateState, type RunnerGate } from '../gates/types.js'
import { pickByWeight } from '../choose/rendezvous.js'
import type { AnswerLimit } from '../forward/types.js'
import type { InstantSource } from '../lease/instant.js'
import type { MemberTable } from '../members/member-table.js'
import type { HostAddress, PeerClient } from '../members/types.js'
import { PermitAllocator } from './permit-allocator.js'
import { OwnUse } from './own-use.js'
import { PermitQueue } from './permit-queue.js'
import { RejectionLimits } from './rejection-limits.js'
import { RoomAllocator } from './room-allocator.js'
import { REJECTION_LIMIT_TEXTS, REQUEST_LIMIT_TEXTS, RunnerLimits } from './runner-limits.js'
import { SlidingWindowCounter } from './sliding-window-counter.js'
import type { Grant, LimitReport, Permit, PermitReply, PermitRequest, RunnerLimit, RunnerLoad, RunnerProcess } from './types.js'

/** A permit that arrives later than this is of no use to a request for a plain service. */
const PERMIT_TIMEOUT_MS = 200
/** Retry delay after a permit request that reached a host other than the allocator: for a moment the two hosts know different hosts. */
const WRONG_ALLOCATOR_RETRY_MS = 300
/** The same where the allocator doesn't list the runner yet. */
const UNLISTED_RETRY_MS = 300
/** Requests that end within this time are stated to the allocator together. */
const STATEMENT_DELAY_MS = 5

export type LimitControlParts = {
  clock: Clock
  instants: InstantSource
  log: Logger
  self: HostAddress
  /** New with every start of the process. */
  incarnation: string
  members: MemberTable
  calls: PeerClient
  isLeaving: () => boolean
  /** Undefined for a runner that isn't listed. */
  runnerLoad: (runnerId: string) => RunnerLoad | undefined
  random: () => number
}

export class LimitControl {
  readonly #limits: RunnerLimits
  readonly #rejectionLimits: RejectionLimits
  readonly #allocator = PermitAllocator.create()
  readonly #rooms = RoomAllocator.create()
  readonly #use: OwnUse
  readonly #queues = new Map<string, PermitQueue>()
  /** Requests that this host sent to each runner without permits. */
  readonly #unpermitted = new Map<string, SlidingWindowCounter>()
  readonly #statementTimers = new Map<string, Timer>()

  private constructor (private readonly parts: LimitControlParts) {
    const { instants, log, incarnation: origin, runnerLoad } = parts
    this.#limits = RunnerLimits.create({
      instants,
      log,
      texts: REQUEST_LIMIT_TEXTS,
      origin,
      onChange: (runner, before) => this.#onChange(runner, before)
    })
    this.#rejectionLimits = RejectionLimits.create({
      instants,
      log,
      texts: REJECTION_LIMIT_TEXTS,
      origin,
      onChange: (runner, before) => this.#onRejectionLimitChange(runner, before)
    }, (runnerId) => runnerLoad(runnerId)?.service)
    this.#use = OwnUse.create(origin, (runnerId) => runnerLoad(runnerId)?.ownInFlight ?? 0)
  }

  static create (parts: LimitControlParts): LimitControl {
    return new LimitControl(parts)
  }

  /** Applies the limit in a runner's answer. @param requestedMs when its request was written, by the clock of `InstantSource` */
  onAnswer (runner: RunnerProcess, limit: AnswerLimit, requestedMs: number): void {
    this.#limits.onAnswer(runner, limit, requestedMs)
  }

  /** The same for the limit on rejected requests. */
  onAnswerToRejections (runner: RunnerProcess, limit: AnswerLimit, requestedMs: number): void {
    this.#rejectionLimits.onAnswer(runner, limit, requestedMs)
  }

  /** The runner rejected a request of this host. */
  onRejected (runner: RunnerProcess): void {
    const rejectionsPerS = this.#rejectionLimits.limitOf(runner)
    if (rejectionsPerS === undefined) return
    const load = this.parts.runnerLoad(runner.id)
    this.parts.log.info('runner rejected a request and fails at too many', { runner: runner.id, rejectionsPerS, ownInFlight: load?.ownInFlight, totalInFlight: load?.totalInFlight, slots: load?.slots })
    this.#use.onRejected(runner.id)
    this.#queueOf(runner).refresh()
  }

  /** A request of this host has left the runner. @param answered with its whole answer */
  onEnded (runner: RunnerProcess, answered: boolean): void {
    if (this.#rejectionLimits.limitOf(runner) === undefined) return
    if (!answered) this.#use.onUnanswered(runner.id, this.#nowMs())
    this.#scheduleStatement(runner)
  }

  /** Applies another host's reports. @param transitMs longest time that its message can have been in flight */
  receive (reports: readonly LimitReport[], transitMs: number): void {
    this.#limits.receive(reports, transitMs)
  }

  /** The same for limits on rejected requests. */
  receiveRejectionLimits (reports: readonly LimitReport[] | undefined, transitMs: number): void {
    if (reports !== undefined) this.#rejectionLimits.receive(reports, transitMs)
  }

  reports (): LimitReport[] {
    return this.#limits.reports()
  }

  /** Absent if there are none. */
  rejectionLimitReports (): LimitReport[] | undefined {
    return this.#rejectionLimits.reports()
  }

  limitOf (runner: RunnerProcess): RunnerLimit | undefined {
    return this.#limits.limitOf(runner)
  }

  /** Rejections a second at which the runner fails; undefined if it bears any number. */
  rejectionLimitOf (runner: RunnerProcess): number | undefined {
    return this.#rejectionLimits.limitOf(runner)
  }

  /** Limits in force by runner id. */
  inForce (): Map<string, number> {
    return this.#limits.inForce()
  }

  /** Limits on rejected requests in force by runner id. */
  rejectionLimitsInForce (): Map<string, number> {
    return this.#rejectionLimits.inForce()
  }

  /** Whether the runner's limit admits a request; closed: a permit should not be requested before `opensInMs`. */
  gate (runner: RunnerProcess): RunnerGate {
    if (!this.#needsPermit(runner)) return { state: GateState.Open }
    const opensInMs = this.#queues.get(runner.id)?.opensInMs ?? 0
    return opensInMs > 0 ? { state: GateState.Closed, by: ClosedBy.Limit, opensInMs } : { state: GateState.NeedsPermit }
  }

  /** Requests a permit for one request; undefined if none is available now. */
  takePermit (runner: RunnerProcess): Promise<Permit | undefined> {
    return this.#queueOf(runner).take()
  }

  /** Called just before a request is written to its runner; false if it needs a permit and has no valid one. */
  beforeWrite (runner: RunnerProcess, permit: Permit | undefined): boolean {
    const nowMs = this.#nowMs()
    const isPermitted = permit !== undefined && permit.runnerId === runner.id && permit.validUntilMs >= nowMs
    if (!isPermitted && this.#needsPermit(runner)) return false
    if (this.#limits.limitOf(runner) === undefined) this.#unpermittedWindow(runner.id).add(1, nowMs)
    return true
  }

  /** Handles a permit request from another host. */
  onPermitRequest (request: PermitRequest): PermitReply {
    this.#receiveAll(request)
    return { ...this.#grant(request), ...this.#reportsAbout(request.runner) }
  }

  sweep (): void {
    const nowMs = this.#nowMs()
    this.#limits.sweep()
    this.#rejectionLimits.sweep()
    this.#allocator.sweep(nowMs)
    this.#rooms.sweep(nowMs)
    this.#restate(nowMs)
    for (const [id, queue] of this.#queues) {
      if (queue.idle) this.#queues.delete(id)
    }
    for (const [id, window] of this.#unpermitted) {
      if (window.total(nowMs) === 0) this.#unpermitted.delete(id)
    }
  }

  #onChange (runner: RunnerProcess, before: number | undefined): void {
    this.#queues.get(runner.id)?.reopen()
    if (before !== undefined || this.#unpermittedWindow(runner.id).total(this.#nowMs()) === 0) return
    // The runner's allocator has to count the requests that were sent before the limit was known.
    this.#queueOf(runner).refresh()
  }

  /** The runner's allocator has to count the requests that are at the runner already. */
  #onRejectionLimitChange (runner: RunnerProcess, before: number | undefined): void {
    this.#queues.get(runner.id)?.reopen()
    if (before === undefined && this.#use.isDue(runner.id, this.#nowMs())) this.#queueOf(runner).refresh()
  }

  #needsPermit (runner: RunnerProcess): boolean {
    return this.#limits.limitOf(runner) !== undefined || this.#rejectionLimits.limitOf(runner) !== undefined
  }

  /** States to the allocators what has changed, or would otherwise be forgotten there. */
  #restate (nowMs: number): void {
    const runners = this.#rejectionLimits.processes()
    for (const runner of runners) {
      if (this.#use.isDue(runner.id, nowMs)) this.#queueOf(runner).refresh()
    }
    const ids = new Set(runners.map(({ id }) => id))
    this.#use.retain((id) => ids.has(id), nowMs)
  }

  #scheduleStatement (runner: RunnerProcess): void {
    if (this.#statementTimers.has(runner.id)) return
    this.#statementTimers.set(runner.id, this.parts.clock.setTimer(STATEMENT_DELAY_MS, () => {
      this.#statementTimers.delete(runner.id)
      this.#queueOf(runner).refresh()
    }))
  }

  #logFailedRequest ({ id }: RunnerProcess, error: Error): void {
    this.parts.log.warn('permit for a runner could not be asked for', { runner: id, reason: error.message })
  }

  #grant (request: PermitRequest): Grant {
    const { runner, wanted } = request
    const limit = this.#limits.limitOf(runner)
    const rejectionsPerS = this.#rejectionLimits.limitOf(runner)
    if (limit === undefined && rejectionsPerS === undefined) return { granted: wanted, retryAfterMs: 0 }
    if (this.#allocatorOf(runner.id) !== undefined) return { granted: 0, retryAfterMs: WRONG_ALLOCATOR_RETRY_MS }
    const grantRate = (count: number) => limit === undefined ? { granted: count, retryAfterMs: 0 } : this.#grantRate(request, count, limit)
    return rejectionsPerS === undefined ? grantRate(wanted) : this.#grantRoom(request, rejectionsPerS, grantRate)
  }

  /** Grants permits under the limit on the rate of requests. */
  #grantRate (request: PermitRequest, wanted: number, limit: RunnerLimit): Grant {
    const options = { requestsPerS: limit.requestsPerS * this.#reachableShare(), random: this.parts.random }
    return this.#allocator.grant({ ...request, wanted }, options, this.#nowMs())
  }

  /** Grants permits for requests that find room at a runner that fails if it rejects too many. */
  #grantRoom (request: PermitRequest, rejectionsPerS: number, grantRate: (wanted: number) => Grant): Grant {
    const load = this.parts.runnerLoad(request.runner.id)
    if (load === undefined) return { granted: 0, retryAfterMs: UNLISTED_RETRY_MS }
    const options = {
      slots: load.slots,
      rejectionsPerS,
      reportedInFlight: load.totalInFlight,
      share: this.#reachableShare(),
      random: this.parts.random
    }
    return this.#rooms.grant(request, options, grantRate, this.#nowMs())
  }

  #queueOf (runner: RunnerProcess): PermitQueue {
    const known = this.#queues.get(runner.id)
    if (known !== undefined) return known
    const queue = this.#createQueue(runner)
    this.#queues.set(runner.id, queue)
    return queue
  }

  #createQueue (runner: RunnerProcess): PermitQueue {
    return PermitQueue.create({
      runnerId: runner.id,
      nowMs: () => this.#nowMs(),
      requestPermits: (wanted) => this.#requestPermits(runner, wanted),
      onFailure: (error) => this.#logFailedRequest(runner, error)
    })
  }

  async #requestPermits (runner: RunnerProcess, wanted: number): Promise<PermitReply> {
    const { calls, self } = this.parts
    const allocatorAddress = this.#allocatorOf(runner.id)
    const use = this.#use.next(runner.id, this.#nowMs())
    const request = {
      host: self.host,
      runner,
      wanted,
      unpermitted: this.#unpermittedWindow(runner.id).total(this.#nowMs()),
      use,
      ...this.#reportsAbout(runner)
    }
    const reply = allocatorAddress === undefined
      ? { ...this.#grant(request), limitReports: [] }
      : await calls.takePermits(allocatorAddress, request, PERMIT_TIMEOUT_MS)
    this.#receiveAll(reply)
    this.#use.onStated(runner.id, use)
    return reply
  }

  /** Peer address of the host that allocates a runner's permits; undefined if it is this host. */
  #allocatorOf (runnerId: string): string | undefined {
    const { members, clock, self, isLeaving } = this.parts
    const others = members.live(clock.monotonicMs()).map(({ summary }) => summary).filter(({ leaving }) => !leaving)
    const hosts = others.map(({ address }) => ({ id: address.host, peerAddress: address.peerAddress }))
    const own = isLeaving() && hosts.length > 0 ? [] : [{ id: self.host, peerAddress: undefined }]
    return pickByWeight(runnerId, [...hosts, ...own])?.peerAddress
  }

  /** The part of a limit to allocate here: hosts that this one can't reach may allocate the same limit among themselves. */
  #reachableShare (): number {
    const { members, clock } = this.parts
    const nowMs = clock.monotonicMs()
    return Math.min(1, (members.live(nowMs).length + 1) / members.sharingHostCount(nowMs))
  }

  /** The requesting host gives up after the timeout, so a message was in flight for no longer. */
  #receiveAll ({ limitReports, rejectionLimitReports }: Pick<PermitReply, 'limitReports' | 'rejectionLimitReports'>): void {
    this.#limits.receive(limitReports, PERMIT_TIMEOUT_MS)
    this.receiveRejectionLimits(rejectionLimitReports, PERMIT_TIMEOUT_MS)
  }

  /** What another host has to know of a runner's limits; that of a runner which has just started may be assumed from others. */
  #reportsAbout (runner: RunnerProcess): Pick<PermitReply, 'limitReports' | 'rejectionLimitReports'> {
    const isAbout = ({ runnerId }: LimitReport) => runnerId === runner.id
    return { limitReports: this.#limits.reports().filter(isAbout), rejectionLimitReports: this.#rejectionLimits.reportsFor(runner) }
  }

  #unpermittedWindow (runnerId: string): SlidingWindowCounter {
    const known = this.#unpermitted.get(runnerId)
    if (known !== undefined) return known
    const window = SlidingWindowCounter.create()
    this.#unpermitted.set(runnerId, window)
    return window
  }

  #nowMs (): number {
    return this.parts.instants.nowMs()
  }
}
