/**
 * Holds all hosts together to the limits that runners name: what a runner said last, who may send to it now, and this host's
 * part in sharing a limit out. A request needs a permit from the moment at which its runner's limit is known here.
 */
import type { Clock, Logger } from '@figloom/runtime'
import { ClosedBy, GateState, type RunnerGate } from '../closures/types.js'
import { pickByWeight } from '../choose/rendezvous.js'
import type { AnswerLimit } from '../forward/types.js'
import type { InstantSource } from '../lease/instant.js'
import type { MemberTable } from '../members/member-table.js'
import type { HostAddress, PeerCalls } from '../members/types.js'
import { PermitDesk } from './permit-desk.js'
import { PermitQueue } from './permit-queue.js'
import { RunnerLimits } from './runner-limits.js'
import { SendingWindow } from './sending-window.js'
import type { LimitReport, Permit, PermitReply, PermitRequest, RunnerLimit, RunnerProcess } from './types.js'

/** A permit that takes longer than this is of no use to a request for a plain service. */
const ASK_TIMEOUT_MS = 200
/** Pause of a host that asked one that doesn't share out this limit: they know different hosts for a moment. */
const NOT_SHARED_HERE_MS = 300

export type LimitControlParts = {
  clock: Clock
  instants: InstantSource
  log: Logger
  self: HostAddress
  /** New with every start of the process. */
  incarnation: string
  members: MemberTable
  calls: PeerCalls
  isLeaving: () => boolean
  random: () => number
}

export class LimitControl {
  readonly #limits: RunnerLimits
  readonly #desk = PermitDesk.create()
  readonly #queues = new Map<string, PermitQueue>()
  /** What this host sent to each runner without permits. */
  readonly #unpermitted = new Map<string, SendingWindow>()

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

  /** Takes over what an answer of the runner says; its request was written at `askedMs` of the instants. */
  onAnswer (runner: RunnerProcess, limit: AnswerLimit, askedMs: number): void {
    this.#limits.onAnswer(runner, limit, askedMs)
  }

  /** Takes over what another host knows; its message was under way for `transitMs` at the most. */
  hear (reports: readonly LimitReport[], transitMs: number): void {
    this.#limits.hear(reports, transitMs)
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

  /** Whether the runner's limit lets a request through; where it is closed, permits are not worth asking for yet. */
  gate (runner: RunnerProcess): RunnerGate {
    if (this.#limits.limitOf(runner) === undefined) return { state: GateState.Open }
    const opensInMs = this.#queues.get(runner.id)?.opensInMs ?? 0
    return opensInMs > 0 ? { state: GateState.Closed, by: ClosedBy.Limit, opensInMs } : { state: GateState.NeedsPermit }
  }

  /** Asks for leave to send one request; undefined where there is none now. */
  takePermit (runner: RunnerProcess): Promise<Permit | undefined> {
    const known = this.#queues.get(runner.id)
    const queue = known ?? this.#createQueue(runner)
    this.#queues.set(runner.id, queue)
    return queue.take()
  }

  /** A request is written to its runner next; false: it needs a permit and has none that is valid. */
  onSending (runner: RunnerProcess, permit: Permit | undefined): boolean {
    const nowMs = this.#nowMs()
    const limited = this.#limits.limitOf(runner) !== undefined
    if (limited && (permit === undefined || permit.runnerId !== runner.id || permit.untilMs < nowMs)) return false
    if (!limited) this.#window(runner.id).add(1, nowMs)
    return true
  }

  /** Answers another host that asks for permits. */
  onPermitRequest (request: PermitRequest): PermitReply {
    // The asking host gives up after its timeout, and what it says is no younger than that.
    this.#limits.hear(request.limitReports, ASK_TIMEOUT_MS)
    return { ...this.#grant(request), limitReports: this.#reportsOn(request.runner) }
  }

  sweep (): void {
    const nowMs = this.#nowMs()
    this.#limits.sweep()
    this.#desk.sweep(nowMs)
    for (const [id, queue] of this.#queues) {
      if (queue.idle) this.#queues.delete(id)
    }
    for (const [id, window] of this.#unpermitted) {
      if (window.total(nowMs) === 0) this.#unpermitted.delete(id)
    }
  }

  #onChange (runner: RunnerProcess, before: number | undefined): void {
    this.#queues.get(runner.id)?.reopen()
    if (before !== undefined || this.#window(runner.id).total(this.#nowMs()) === 0) return
    // Whoever shares the limit out has to count what was sent before anybody knew of it.
    this.#ask(runner, 0).catch((error: Error) => this.#logUnasked(runner, error))
  }

  #logUnasked ({ id }: RunnerProcess, error: Error): void {
    this.parts.log.warn('permit for a runner could not be asked for', { runner: id, reason: error.message })
  }

  #grant (request: PermitRequest): Omit<PermitReply, 'limitReports'> {
    const limit = this.#limits.limitOf(request.runner)
    if (limit === undefined) return { granted: request.wanted, retryAfterMs: 0 }
    if (this.#sharer(request.runner.id) !== undefined) return { granted: 0, retryAfterMs: NOT_SHARED_HERE_MS }
    const terms = { requestsPerS: limit.requestsPerS * this.#sightShare(), random: this.parts.random }
    return this.#desk.grant(request, terms, this.#nowMs())
  }

  #createQueue (runner: RunnerProcess): PermitQueue {
    return PermitQueue.create({
      runnerId: runner.id,
      nowMs: () => this.#nowMs(),
      ask: (wanted) => this.#ask(runner, wanted),
      onFailure: (error) => this.#logUnasked(runner, error)
    })
  }

  async #ask (runner: RunnerProcess, wanted: number): Promise<PermitReply> {
    const { calls, self } = this.parts
    const sharer = this.#sharer(runner.id)
    const request = { host: self.host, runner, wanted, unpermitted: this.#window(runner.id).total(this.#nowMs()), limitReports: this.#reportsOn(runner) }
    if (sharer === undefined) return { ...this.#grant(request), limitReports: [] }
    const reply = await calls.takePermits(sharer, request, ASK_TIMEOUT_MS)
    this.#limits.hear(reply.limitReports, ASK_TIMEOUT_MS)
    return reply
  }

  /** Peer address of the host that shares out a runner's limit; undefined where it is this one. */
  #sharer (runnerId: string): string | undefined {
    const { members, clock, self, isLeaving } = this.parts
    const others = members.live(clock.monotonicMs()).map(({ summary }) => summary).filter(({ leaving }) => !leaving)
    const hosts = others.map(({ address }) => ({ id: address.host, peerAddress: address.peerAddress }))
    const own = isLeaving() && hosts.length > 0 ? [] : [{ id: self.host, peerAddress: undefined }]
    return pickByWeight(runnerId, [...hosts, ...own])?.peerAddress
  }

  /** Hosts that are out of sight may share out the same limit among themselves. */
  #sightShare (): number {
    const { members, clock } = this.parts
    const nowMs = clock.monotonicMs()
    return Math.min(1, (members.live(nowMs).length + 1) / members.sharingCount(nowMs))
  }

  #reportsOn ({ id }: RunnerProcess): LimitReport[] {
    return this.#limits.reports().filter(({ runnerId }) => runnerId === id)
  }

  #window (runnerId: string): SendingWindow {
    const known = this.#unpermitted.get(runnerId)
    if (known !== undefined) return known
    const window = SendingWindow.create()
    this.#unpermitted.set(runnerId, window)
    return window
  }

  #nowMs (): number {
    return this.parts.instants.nowMs()
  }
}
