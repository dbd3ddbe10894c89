/** Applies the routing decisions of one cell on this host: queues requests, runs the timers and resolves waiting requests. */
import { createFailure, ResultCode, type Clock, type Failure, type Timer } from '@figloom/runtime'
import {
  RouteDecider, type FailureDecision, type LoadReport, type PeerLoad, type PrefixEvent, type RandomSource,
  type RefuseDecision, type RouteRequest, type RunnerInfo, type SendDecision, type Target, type TargetDemand
} from '@figloom/routing'

export type CellRouterOptions = {
  clock: Clock
  random: RandomSource
  availabilityZone: string
  /** Share of a runner's limit that batch requests may use, from 0 to 1. */
  batchShare: number
}

type Waiter = { resolve: (decision: SendDecision | RefuseDecision) => void }

const QUEUE_CHECK_MS = 10
const STALL_CHECK_MS = 1000

export class CellRouter {
  readonly #decider: RouteDecider
  readonly #waiters = new Map<string, Waiter>()
  readonly #urls = new Map<string, string>()
  #queueTimer: Timer | undefined
  #stallTimer: Timer | undefined

  private constructor (private readonly options: CellRouterOptions) {
    const { clock, random, availabilityZone, batchShare } = options
    this.#decider = RouteDecider.create({ options: { availabilityZone, batchShare }, random, nowMs: clock.monotonicMs() })
    this.#scheduleStallCheck()
  }

  static create (options: CellRouterOptions): CellRouter {
    return new CellRouter(options)
  }

  /** Replaces the runners of the cell; `urls` maps their names to base URLs. */
  setRunners (infos: readonly RunnerInfo[], urls: ReadonlyMap<string, string>): void {
    this.#urls.clear()
    for (const [name, url] of urls) this.#urls.set(name, url)
    this.#decider.setRunners(infos)
    this.#resolveReleased()
  }

  urlOf (runner: string): string | undefined {
    return this.#urls.get(runner)
  }

  /** Whether the target is resident on a runner of the cell that accepts new work. */
  serves (target: Target): boolean {
    return this.#decider.serves(target)
  }

  /** Resolves when the request may be sent to a runner or is refused. A request that may be sent counts as in flight. */
  acquire (request: RouteRequest, signal: AbortSignal): Promise<SendDecision | RefuseDecision> {
    const nowMs = this.options.clock.monotonicMs()
    const decision = this.#decider.decide(request, nowMs)
    if (decision.kind === 'refuse') return Promise.resolve(decision)
    if (decision.kind === 'send') {
      this.#decider.onSent(request, decision, nowMs)
      return Promise.resolve(decision)
    }
    return this.#wait(request, signal)
  }

  onFirstToken (requestId: string): void {
    this.#decider.onFirstToken(requestId, this.#nowMs())
  }

  onToken (requestId: string, tokens: number): void {
    this.#decider.onToken(requestId, tokens, this.#nowMs())
  }

  onDone (requestId: string, tokens: number): void {
    this.#decider.onDone(requestId, tokens, this.#nowMs())
    this.#resolveReleased()
  }

  onCanceled (requestId: string): void {
    this.#decider.onCanceled(requestId, this.#nowMs())
    this.#resolveReleased()
  }

  /** Decides whether a failed attempt is retried, resumed or given up. A retry or resume counts as in flight. */
  onFailed (request: RouteRequest, failure: Failure, attempts: number): FailureDecision {
    const decision = this.#decider.onFailed(request.id, failure, attempts, this.#nowMs())
    if (decision.kind !== 'give-up') this.#decider.onSent(request, decision.send, this.#nowMs())
    this.#resolveReleased()
    return decision
  }

  onReport (runner: string, report: LoadReport): void {
    this.#decider.onReport(runner, report, this.#nowMs())
    this.#resolveReleased()
  }

  onPeerLoad (load: PeerLoad): void {
    this.#decider.onPeerLoad(load, this.#nowMs())
  }

  onCacheEvents (runner: string, events: readonly PrefixEvent[]): void {
    this.#decider.onCacheEvents(runner, events)
  }

  onEngineReplaced (runner: string): void {
    this.#decider.onEngineReplaced(runner)
  }

  ownLoads (host: string): PeerLoad[] {
    return this.#decider.ownLoads(host)
  }

  /** Requests since the last call, by model version. */
  takeDemand (): TargetDemand[] {
    return this.#decider.takeDemand()
  }

  get waitingCount (): number {
    return this.#waiters.size
  }

  /** Refuses all waiting requests and stops the timers. */
  stop (): void {
    this.#queueTimer?.cancel()
    this.#stallTimer?.cancel()
    const failure = createFailure(ResultCode.Draining, 'this host no longer serves the cell of the route', { retryAfterMs: 0 })
    for (const { resolve } of this.#waiters.values()) resolve({ kind: 'refuse', failure })
    this.#waiters.clear()
  }

  #wait (request: RouteRequest, signal: AbortSignal): Promise<SendDecision | RefuseDecision> {
    return new Promise((resolve) => {
      const onAbort = () => {
        if (!this.#decider.cancel(request.id)) return
        this.#waiters.delete(request.id)
        resolve({ kind: 'refuse', failure: createFailure(ResultCode.Canceled, 'the caller disconnected', { ran: 'no' }) })
      }
      const settle = (decision: SendDecision | RefuseDecision) => {
        signal.removeEventListener('abort', onAbort)
        resolve(decision)
      }
      this.#waiters.set(request.id, { resolve: settle })
      signal.addEventListener('abort', onAbort, { once: true })
      if (signal.aborted) onAbort()
      this.#scheduleQueueCheck()
    })
  }

  #resolveReleased (): void {
    if (this.#waiters.size === 0) return
    for (const { request, decision } of this.#decider.release(this.#nowMs())) {
      const waiter = this.#waiters.get(request.id)
      this.#waiters.delete(request.id)
      waiter?.resolve(decision)
    }
  }

  #scheduleQueueCheck (): void {
    this.#queueTimer ??= this.options.clock.setTimer(QUEUE_CHECK_MS, () => {
      this.#queueTimer = undefined
      this.#resolveReleased()
      if (this.#waiters.size > 0) this.#scheduleQueueCheck()
    })
  }

  #scheduleStallCheck (): void {
    this.#stallTimer = this.options.clock.setTimer(STALL_CHECK_MS, () => {
      this.#decider.checkStalls(this.#nowMs())
      this.#scheduleStallCheck()
    })
  }

  #nowMs (): number {
    return this.options.clock.monotonicMs()
  }
}
