/**
 * Enforces the limits that runners name across all hosts: estimates each runner's limit, requests permits for this host's
 * requests, and allocates permits to the hosts for those runners that this host is responsible for. A request needs a permit
 * as soon as this host knows of its runner's limit.
 */
import type { Clock, Logger } from '@figloom/runtime'
import { ClosedBy, GateState, type RunnerGate } from '../gates/types.js'
import { pickByWeight } from '../choose/rendezvous.js'
import type { AnswerLimit } from '../forward/types.js'
import type { InstantSource } from '../lease/instant.js'
import type { MemberTable } from '../members/member-table.js'
import type { HostAddress, PeerClient } from '../members/types.js'
import { PermitAllocator } from './permit-allocator.js'
import { PermitQueue } from './permit-queue.js'
import { RunnerLimits } from './runner-limits.js'
import { SlidingWindowCounter } from './sliding-window-counter.js'
import type { LimitReport, Permit, PermitReply, PermitRequest, RunnerLimit, RunnerProcess } from './types.js'

/** A permit that arrives later than this is of no use to a request for a plain service. */
const PERMIT_TIMEOUT_MS = 200
/** Retry delay after a permit request that reached a host other than the allocator: for a moment the two hosts know different hosts. */
const WRONG_ALLOCATOR_RETRY_MS = 300

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
  random: () => number
}

export class LimitControl {
  readonly #limits: RunnerLimits
  readonly #allocator = PermitAllocator.create()
  readonly #queues = new Map<string, PermitQueue>()
  /** Requests that this host sent to each runner without permits. */
  readonly #unpermitted = new Map<string, SlidingWindowCounter>()

  private constructor (private readonly parts: LimitControlParts) {
    this.#limits = RunnerLimits.create({
      instants: parts.instants,
      log: parts.log,
      origin: parts.incarnation,
      onChange: (runner, before) => this.#onChange(runner, before)
    })
  }

  static create (parts: LimitControlParts): LimitControl {
    return new LimitControl(parts)
  }

  /** Applies the limit in a runner's answer. @param requestedMs when its request was written, by the clock of `InstantSource` */
  onAnswer (runner: RunnerProcess, limit: AnswerLimit, requestedMs: number): void {
    this.#limits.onAnswer(runner, limit, requestedMs)
  }

  /** Applies another host's reports. @param transitMs longest time that its message can have been in flight */
  receive (reports: readonly LimitReport[], transitMs: number): void {
    this.#limits.receive(reports, transitMs)
  }

  reports (): LimitReport[] {
    return this.#limits.reports()
  }

  limitOf (runner: RunnerProcess): RunnerLimit | undefined {
    return this.#limits.limitOf(runner)
  }

  /** Limits in force by runner id. */
  inForce (): Map<string, number> {
    return this.#limits.inForce()
  }

  /** Whether the runner's limit admits a request; closed: a permit should not be requested before `opensInMs`. */
  gate (runner: RunnerProcess): RunnerGate {
    if (this.#limits.limitOf(runner) === undefined) return { state: GateState.Open }
    const opensInMs = this.#queues.get(runner.id)?.opensInMs ?? 0
    return opensInMs > 0 ? { state: GateState.Closed, by: ClosedBy.Limit, opensInMs } : { state: GateState.NeedsPermit }
  }

  /** Requests a permit for one request; undefined if none is available now. */
  takePermit (runner: RunnerProcess): Promise<Permit | undefined> {
    const known = this.#queues.get(runner.id)
    const queue = known ?? this.#createQueue(runner)
    this.#queues.set(runner.id, queue)
    return queue.take()
  }

  /** Called just before a request is written to its runner; false if it needs a permit and has no valid one. */
  beforeWrite (runner: RunnerProcess, permit: Permit | undefined): boolean {
    const nowMs = this.#nowMs()
    const limited = this.#limits.limitOf(runner) !== undefined
    if (limited && (permit === undefined || permit.runnerId !== runner.id || permit.validUntilMs < nowMs)) return false
    if (!limited) this.#unpermittedWindow(runner.id).add(1, nowMs)
    return true
  }

  /** Handles a permit request from another host. */
  onPermitRequest (request: PermitRequest): PermitReply {
    // The requesting host gives up after this timeout, so its message was in flight for no longer.
    this.#limits.receive(request.limitReports, PERMIT_TIMEOUT_MS)
    return { ...this.#grant(request), limitReports: this.#reportsAbout(request.runner) }
  }

  sweep (): void {
    const nowMs = this.#nowMs()
    this.#limits.sweep()
    this.#allocator.sweep(nowMs)
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
    this.#requestPermits(runner, 0).catch((error: Error) => this.#logFailedRequest(runner, error))
  }

  #logFailedRequest ({ id }: RunnerProcess, error: Error): void {
    this.parts.log.warn('permit for a runner could not be asked for', { runner: id, reason: error.message })
  }

  #grant (request: PermitRequest): Omit<PermitReply, 'limitReports'> {
    const limit = this.#limits.limitOf(request.runner)
    if (limit === undefined) return { granted: request.wanted, retryAfterMs: 0 }
    if (this.#allocatorOf(request.runner.id) !== undefined) return { granted: 0, retryAfterMs: WRONG_ALLOCATOR_RETRY_MS }
    const options = { requestsPerS: limit.requestsPerS * this.#reachableShare(), random: this.parts.random }
    return this.#allocator.grant(request, options, this.#nowMs())
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
    const request = {
      host: self.host,
      runner,
      wanted,
      unpermitted: this.#unpermittedWindow(runner.id).total(this.#nowMs()),
      limitReports: this.#reportsAbout(runner)
    }
    if (allocatorAddress === undefined) return { ...this.#grant(request), limitReports: [] }
    const reply = await calls.takePermits(allocatorAddress, request, PERMIT_TIMEOUT_MS)
    this.#limits.receive(reply.limitReports, PERMIT_TIMEOUT_MS)
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

  #reportsAbout ({ id }: RunnerProcess): LimitReport[] {
    return this.#limits.reports().filter(({ runnerId }) => runnerId === id)
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
