/** Simulated entry hosts: a naive baseline, and a host that routes with the `RouteDecider` of the project. */
import { createFailure, ResultCode } from '@figloom/runtime'
import {
  RouteDecider, type DeciderOptions, type Decision, type RouteRequest, type RunnerInfo, type SendDecision, type TargetDemand
} from '@figloom/routing'
import { Priority } from '@figloom/tables'
import type { Cell } from './cell.js'
import type { Arrival } from './demand.js'
import type { Outcomes } from './outcome.js'

export abstract class Host {
  protected constructor (
    readonly availabilityZone: string,
    protected readonly cell: Cell,
    protected readonly outcomes: Outcomes,
    protected readonly random: () => number
  ) {}

  abstract handleArrival (arrival: Arrival): void
  abstract setRunners (infos: RunnerInfo[]): void
  takeDemand (): TargetDemand[] { return [] }
  tick (): void {}

  /** One-way network delay to a runner. */
  protected delayMs (runner: string): number {
    const zone = this.cell.engines.get(runner)?.runner.availabilityZone
    return zone === this.availabilityZone ? 0.1 : this.cell.deployment.zoneDelayMs
  }
}

/** Baseline: sends each request at once to a random runner that has the model and adapter; no queue, no priorities, no retries. */
export class NaiveHost extends Host {
  #infos: RunnerInfo[] = []

  static create (zone: string, cell: Cell, outcomes: Outcomes, random: () => number): NaiveHost {
    return new NaiveHost(zone, cell, outcomes, random)
  }

  override setRunners (infos: RunnerInfo[]): void {
    this.#infos = infos
  }

  override handleArrival (arrival: Arrival): void {
    const { timeline, engines } = this.cell
    const { model, adapter } = arrival.route
    const holders = this.#infos.filter(({ copies }) => copies.some((copy) => copy.model === model && (adapter === undefined || copy.adapters.includes(adapter))))
    const runner = holders[Math.floor(this.random() * holders.length)]?.name
    if (runner === undefined) return this.outcomes.onFailed(arrival)
    let firstTokenMs = Infinity
    timeline.runAfter(this.delayMs(runner), () => engines.get(runner)?.submit({
      ...arrival,
      priority: Priority.Interactive,
      model,
      onFirstToken: () => { firstTokenMs = timeline.nowMs + this.delayMs(runner) },
      onDone: () => this.outcomes.onDone(arrival, firstTokenMs, timeline.nowMs + this.delayMs(runner)),
      onFailed: () => this.outcomes.onFailed(arrival)
    }))
  }
}

/** State of a caller's request at a routing host. */
type Call = {
  arrival: Arrival
  attemptCount: number
  /** Runner of each attempt in progress, by attempt id. */
  activeAttempts: Map<string, string>
  /** Tokens received from each attempt, by attempt id. */
  deliveredTokens: Map<string, number>
  firstTokenMs: number
  /** Tokens that failed attempts have delivered; the next attempt resumes after them. */
  resumedTokens: number
  ended: boolean
}

const BATCH_DEADLINE_AFTER_MS = 300_000

export class RoutingHost extends Host {
  readonly decider: RouteDecider
  readonly #calls = new Map<string, Call>()

  private constructor (zone: string, cell: Cell, outcomes: Outcomes, random: () => number, options: Partial<DeciderOptions>) {
    super(zone, cell, outcomes, random)
    const zones = { availabilityZone: zone, sameZoneRoundTripMs: 0.2, otherZoneRoundTripMs: 2 * cell.deployment.zoneDelayMs }
    this.decider = RouteDecider.create({ options: { ...zones, ...options }, random, nowMs: 0 })
  }

  static create (zone: string, cell: Cell, outcomes: Outcomes, random: () => number, options: Partial<DeciderOptions>): RoutingHost {
    return new RoutingHost(zone, cell, outcomes, random, options)
  }

  override setRunners (infos: RunnerInfo[]): void {
    this.decider.setRunners(infos)
  }

  override takeDemand (): TargetDemand[] {
    return this.decider.takeDemand()
  }

  override handleArrival (arrival: Arrival): void {
    const call = { arrival, attemptCount: 0, activeAttempts: new Map<string, string>(), deliveredTokens: new Map<string, number>(), firstTokenMs: Infinity, resumedTokens: 0, ended: false }
    const request = this.#requestOf(call)
    this.#calls.set(request.id, call)
    this.#apply(call, request, this.decider.decide(request, this.#nowMs))
  }

  /** Sends or refuses queued requests that the decider releases. */
  override tick (): void {
    if (this.decider.waiting === 0) return
    for (const { request, decision } of this.decider.release(this.#nowMs)) {
      const call = this.#calls.get(request.id)
      if (call === undefined) continue
      if (decision.kind === 'send') this.#submit(call, request, decision)
      else this.#refuse(call, request.id)
    }
  }

  /** Reports the progress of all streams to the decider, then lets it check for stalled ones. */
  checkStalls (): void {
    for (const call of this.#calls.values()) {
      for (const [id, runner] of call.activeAttempts) {
        const tokens = this.cell.engines.get(runner)?.deliveredTokens(id) ?? 0
        if (tokens <= (call.deliveredTokens.get(id) ?? 0)) continue
        call.deliveredTokens.set(id, tokens)
        this.decider.onToken(id, tokens, this.#nowMs)
      }
    }
    this.decider.checkStalls(this.#nowMs)
  }

  get #nowMs (): number {
    return this.cell.timeline.nowMs
  }

  #requestOf (call: Call): RouteRequest {
    const { arrival } = call
    const { route, priority } = arrival
    call.attemptCount += 1
    return {
      id: `${arrival.id}#${call.attemptCount}`,
      route: route.name,
      target: { model: route.model, version: route.version, ...(route.adapter === undefined ? {} : { adapter: route.adapter }) },
      priority,
      deadlineMs: arrival.atMs + (priority === Priority.Batch ? BATCH_DEADLINE_AFTER_MS : route.firstTokenTargetMs),
      betweenTokensTargetMs: route.betweenTokensTargetMs,
      promptTokens: arrival.promptTokens + call.resumedTokens,
      prefixHashes: arrival.prefixHashes,
      idempotent: true
    }
  }

  #apply (call: Call, request: RouteRequest, decision: Decision): void {
    if (decision.kind === 'refuse') return this.#refuse(call, request.id)
    if (decision.kind === 'wait') return
    this.#send(call, request, decision)
  }

  #refuse (call: Call, id: string): void {
    this.#calls.delete(id)
    if (call.activeAttempts.size > 0 || call.ended) return
    call.ended = true
    this.outcomes.onRefused(call.arrival)
  }

  #send (call: Call, request: RouteRequest, decision: SendDecision): void {
    this.decider.onSent(request, decision, this.#nowMs)
    this.#submit(call, request, decision)
  }

  #submit (call: Call, request: RouteRequest, { runner }: SendDecision): void {
    this.#calls.set(request.id, call)
    call.activeAttempts.set(request.id, runner)
    const { timeline, engines } = this.cell
    const delayMs = this.delayMs(runner)
    const afterReturnDelay = (run: () => void) => timeline.runAfter(delayMs, () => { if (call.activeAttempts.has(request.id)) run() })
    timeline.runAfter(delayMs, () => {
      if (!call.activeAttempts.has(request.id)) return
      engines.get(runner)?.submit({
        id: request.id,
        model: request.target.model,
        priority: request.priority,
        promptTokens: request.promptTokens,
        outputTokens: Math.max(1, call.arrival.outputTokens - call.resumedTokens),
        prefixHashes: request.prefixHashes,
        onFirstToken: () => afterReturnDelay(() => this.#onFirstToken(call, request)),
        onDone: () => afterReturnDelay(() => this.#onDone(call, request)),
        onFailed: () => afterReturnDelay(() => this.#onFailed(call, request))
      })
    })
  }

  #onFirstToken (call: Call, request: RouteRequest): void {
    this.decider.onFirstToken(request.id, this.#nowMs)
    call.firstTokenMs = Math.min(call.firstTokenMs, this.#nowMs)
  }

  #onDone (call: Call, request: RouteRequest): void {
    this.decider.onDone(request.id, call.arrival.outputTokens - call.resumedTokens, this.#nowMs)
    this.#removeAttempt(call, request.id)
    call.ended = true
    this.outcomes.onDone(call.arrival, call.firstTokenMs, this.#nowMs)
    this.tick()
  }

  #onFailed (call: Call, request: RouteRequest): void {
    const failure = createFailure(ResultCode.BackendFailed, 'connection broken')
    const streaming = call.firstTokenMs < Infinity
    if (streaming) {
      call.resumedTokens = Math.min(call.arrival.outputTokens - 1, call.resumedTokens + (call.deliveredTokens.get(request.id) ?? 0))
      this.decider.onToken(request.id, Math.max(1, call.resumedTokens), this.#nowMs)
    }
    const decision = this.decider.onFailed(request.id, failure, call.attemptCount, this.#nowMs)
    this.#removeAttempt(call, request.id)
    if (call.activeAttempts.size > 0) return
    if (decision.kind !== 'give-up') return this.#send(call, this.#requestOf(call), decision.send)
    call.ended = true
    this.outcomes.onFailed(call.arrival)
  }

  #removeAttempt (call: Call, id: string): void {
    call.activeAttempts.delete(id)
    this.#calls.delete(id)
  }
}
