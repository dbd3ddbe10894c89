/** Entry hosts of the replay: the naive one, and one that carries out the project's decisions. */
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

  abstract arrive (arrival: Arrival): void
  abstract setRunners (infos: RunnerInfo[]): void
  takeDemand (): TargetDemand[] { return [] }
  tick (): void {}

  /** Network time one way to a runner. */
  protected delayMs (runner: string): number {
    const zone = this.cell.engines.get(runner)?.runner.availabilityZone
    return zone === this.availabilityZone ? 0.1 : this.cell.deployment.zoneDelayMs
  }
}

/** Random runner among those that hold the model and adapter; first come, first served; no retry. */
export class NaiveHost extends Host {
  #infos: RunnerInfo[] = []

  static create (zone: string, cell: Cell, outcomes: Outcomes, random: () => number): NaiveHost {
    return new NaiveHost(zone, cell, outcomes, random)
  }

  override setRunners (infos: RunnerInfo[]): void {
    this.#infos = infos
  }

  override arrive (arrival: Arrival): void {
    const { timeline, engines } = this.cell
    const { model, adapter } = arrival.route
    const holders = this.#infos.filter(({ copies }) => copies.some((copy) => copy.model === model && (adapter === undefined || copy.adapters.includes(adapter))))
    const runner = holders[Math.floor(this.random() * holders.length)]?.name
    if (runner === undefined) return this.outcomes.onFailed(arrival)
    let firstMs = Infinity
    timeline.after(this.delayMs(runner), () => engines.get(runner)?.submit({
      ...arrival,
      priority: Priority.Interactive,
      model,
      onFirst: () => { firstMs = timeline.nowMs + this.delayMs(runner) },
      onDone: () => this.outcomes.onDone(arrival, firstMs, timeline.nowMs + this.delayMs(runner)),
      onFailed: () => this.outcomes.onFailed(arrival)
    }))
  }
}

/** A caller's request at a deciding host. */
type Call = { arrival: Arrival, attempts: number, live: Map<string, string>, seen: Map<string, number>, firstMs: number, tokens: number, ended: boolean }

const BATCH_DEADLINE_MS = 300_000

export class DecidingHost extends Host {
  readonly decider: RouteDecider
  readonly #calls = new Map<string, Call>()

  private constructor (zone: string, cell: Cell, outcomes: Outcomes, random: () => number, options: Partial<DeciderOptions>) {
    super(zone, cell, outcomes, random)
    const zones = { availabilityZone: zone, sameZoneRoundTripMs: 0.2, otherZoneRoundTripMs: 2 * cell.deployment.zoneDelayMs }
    this.decider = RouteDecider.create({ options: { ...zones, ...options }, random, nowMs: 0 })
  }

  static create (zone: string, cell: Cell, outcomes: Outcomes, random: () => number, options: Partial<DeciderOptions>): DecidingHost {
    return new DecidingHost(zone, cell, outcomes, random, options)
  }

  override setRunners (infos: RunnerInfo[]): void {
    this.decider.setRunners(infos)
  }

  override takeDemand (): TargetDemand[] {
    return this.decider.takeDemand()
  }

  override arrive (arrival: Arrival): void {
    const call = { arrival, attempts: 0, live: new Map<string, string>(), seen: new Map<string, number>(), firstMs: Infinity, tokens: 0, ended: false }
    const request = this.#requestOf(call)
    this.#calls.set(request.id, call)
    this.#carryOut(call, request, this.decider.decide(request, this.#nowMs))
  }

  /** Sends or refuses what waited. */
  override tick (): void {
    if (this.decider.waiting === 0) return
    for (const { request, decision } of this.decider.release(this.#nowMs)) {
      const call = this.#calls.get(request.id)
      if (call === undefined) continue
      if (decision.kind === 'send') this.#submit(call, request, decision)
      else this.#refuse(call, request.id)
    }
  }

  /** Tells the decisions how far streams have come, then looks for stalls. */
  checkStalls (): void {
    for (const call of this.#calls.values()) {
      for (const [id, runner] of call.live) {
        const tokens = this.cell.engines.get(runner)?.tokensOf(id) ?? 0
        if (tokens <= (call.seen.get(id) ?? 0)) continue
        call.seen.set(id, tokens)
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
    call.attempts += 1
    return {
      id: `${arrival.id}#${call.attempts}`,
      route: route.name,
      target: { model: route.model, version: route.version, ...(route.adapter === undefined ? {} : { adapter: route.adapter }) },
      priority,
      deadlineMs: arrival.atMs + (priority === Priority.Batch ? BATCH_DEADLINE_MS : route.firstTokenTargetMs),
      betweenTokensTargetMs: route.betweenTokensTargetMs,
      promptTokens: arrival.promptTokens + call.tokens,
      prefixHashes: arrival.prefixHashes,
      idempotent: true
    }
  }

  #carryOut (call: Call, request: RouteRequest, decision: Decision): void {
    if (decision.kind === 'refuse') return this.#refuse(call, request.id)
    if (decision.kind === 'wait') return
    this.#send(call, request, decision)
  }

  #refuse (call: Call, id: string): void {
    this.#calls.delete(id)
    if (call.live.size > 0 || call.ended) return
    call.ended = true
    this.outcomes.onRefused(call.arrival)
  }

  #send (call: Call, request: RouteRequest, decision: SendDecision): void {
    this.decider.onSent(request, decision, this.#nowMs)
    this.#submit(call, request, decision)
  }

  #submit (call: Call, request: RouteRequest, { runner }: SendDecision): void {
    this.#calls.set(request.id, call)
    call.live.set(request.id, runner)
    const { timeline, engines } = this.cell
    const delayMs = this.delayMs(runner)
    const back = (run: () => void) => timeline.after(delayMs, () => { if (call.live.has(request.id)) run() })
    timeline.after(delayMs, () => {
      if (!call.live.has(request.id)) return
      engines.get(runner)?.submit({
        id: request.id,
        model: request.target.model,
        priority: request.priority,
        promptTokens: request.promptTokens,
        outputTokens: Math.max(1, call.arrival.outputTokens - call.tokens),
        prefixHashes: request.prefixHashes,
        onFirst: () => back(() => this.#onFirst(call, request)),
        onDone: () => back(() => this.#onDone(call, request)),
        onFailed: () => back(() => this.#onFailed(call, request))
      })
    })
  }

  #onFirst (call: Call, request: RouteRequest): void {
    this.decider.onFirstToken(request.id, this.#nowMs)
    call.firstMs = Math.min(call.firstMs, this.#nowMs)
  }

  #onDone (call: Call, request: RouteRequest): void {
    this.decider.onDone(request.id, call.arrival.outputTokens - call.tokens, this.#nowMs)
    this.#forget(call, request.id)
    call.ended = true
    this.outcomes.onDone(call.arrival, call.firstMs, this.#nowMs)
    this.tick()
  }

  #onFailed (call: Call, request: RouteRequest): void {
    const failure = createFailure(ResultCode.BackendFailed, 'connection broken')
    const streaming = call.firstMs < Infinity
    if (streaming) {
      call.tokens = Math.min(call.arrival.outputTokens - 1, call.tokens + (call.seen.get(request.id) ?? 0))
      this.decider.onToken(request.id, Math.max(1, call.tokens), this.#nowMs)
    }
    const decision = this.decider.onFailed(request.id, failure, call.attempts, this.#nowMs)
    this.#forget(call, request.id)
    if (call.live.size > 0) return
    if (decision.kind !== 'give-up') return this.#send(call, this.#requestOf(call), decision.send)
    call.ended = true
    this.outcomes.onFailed(call.arrival)
  }

  #forget (call: Call, id: string): void {
    call.live.delete(id)
    this.#calls.delete(id)
  }
}
