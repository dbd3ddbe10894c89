/** Runs the routing decisions of one cell on this host: queues, timers and the answers to waiting requests. */
import { createFailure, ResultCode, type Clock, type Failure, type Timer } from '@figloom/runtime'
import {
  RouteDecider, type FailureDecision, type LoadReport, type NeighbourLoad, type PrefixEvent, type RandomSource,
  type RefuseDecision, type RouteRequest, type RunnerInfo, type SendDecision, type Target, type TargetDemand
} from '@figloom/routing'

export type CellRouterOptions = {
  clock: Clock
  random: RandomSource
  availabilityZone: string
  /** Part of a runner's limit that batch requests may use. */
  batchShare: number
}

type Waiter = { resolve: (decision: SendDecision | RefuseDecision) => void }

const RELEASE_INTERVAL_MS = 10
const STALL_CHECK_MS = 1000

export class CellRouter {
  readonly #decider: RouteDecider
  readonly #waiters = new Map<string, Waiter>()
  readonly #urls = new Map<string, string>()
  #releaseTimer: Timer | undefined
  #stallTimer: Timer | undefined

  private constructor (private readonly options: CellRouterOptions) {
    const { clock, random, availabilityZone, batchShare } = options
    this.#decider = RouteDecider.create({ options: { availabilityZone, batchShare }, random, nowMs: clock.monotonicMs() })
    this.#scheduleStallCheck()
  }

  static create (options: CellRouterOptions): CellRouter {
    return new CellRouter(options)
  }

  /** Replaces the runners of the cell; `urls` gives the base URL of each. */
  setRunners (infos: readonly RunnerInfo[], urls: ReadonlyMap<string, string>): void {
    this.#urls.clear()
    for (const [name, url] of urls) this.#urls.set(name, url)
    this.#decider.setRunners(infos)
    this.#release()
  }

  urlOf (runner: string): string | undefined {
    return this.#urls.get(runner)
  }

  /** Whether some runner of the cell that takes new work holds the target. */
  serves (target: Target): boolean {
    return this.#decider.serves(target)
  }

  /** Resolves once the request may go to a runner, or is refused; a request that is sent counts from then on. */
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
    this.#release()
  }

  onCanceled (requestId: string): void {
    this.#decider.onCanceled(requestId, this.#nowMs())
    this.#release()
  }

  /** What to do about a failed attempt. A repeat or resume counts as sent. */
  onFailed (request: RouteRequest, failure: Failure, attempts: number): FailureDecision {
    const decision = this.#decider.onFailed(request.id, failure, attempts, this.#nowMs())
    if (decision.kind !== 'give-up') this.#decider.onSent(request, decision.send, this.#nowMs())
    this.#release()
    return decision
  }

  onReport (runner: string, report: LoadReport): void {
    this.#decider.onReport(runner, report, this.#nowMs())
    this.#release()
  }

  onNeighbour (load: NeighbourLoad): void {
    this.#decider.onNeighbour(load, this.#nowMs())
  }

  onCacheEvents (runner: string, events: readonly PrefixEvent[]): void {
    this.#decider.onCacheEvents(runner, events)
  }

  onReplaced (runner: string): void {
    this.#decider.onEngineReplaced(runner)
  }

  ownLoads (host: string): NeighbourLoad[] {
    return this.#decider.ownLoads(host)
  }

  /** Requests since the last call, by model version. */
  takeDemand (): TargetDemand[] {
    return this.#decider.takeDemand()
  }

  get waiting (): number {
    return this.#waiters.size
  }

  /** Refuses all waiting requests and stops the timers. */
  stop (): void {
    this.#releaseTimer?.cancel()
    this.#stallTimer?.cancel()
    const failure = createFailure(ResultCode.Draining, 'this host no longer serves the route', { retryAfterMs: 0 })
    for (const { resolve } of this.#waiters.values()) resolve({ kind: 'refuse', failure })
    this.#waiters.clear()
  }

  #wait (request: RouteRequest, signal: AbortSignal): Promise<SendDecision | RefuseDecision> {
    return new Promise((resolve) => {
      const onAbort = () => {
        if (!this.#decider.cancel(request.id)) return
        this.#waiters.delete(request.id)
        resolve({ kind: 'refuse', failure: createFailure(ResultCode.Canceled, 'the caller went away', { ran: 'no' }) })
      }
      const settle = (decision: SendDecision | RefuseDecision) => {
        signal.removeEventListener('abort', onAbort)
        resolve(decision)
      }
      this.#waiters.set(request.id, { resolve: settle })
      signal.addEventListener('abort', onAbort, { once: true })
      if (signal.aborted) onAbort()
      this.#scheduleRelease()
    })
  }

  #release (): void {
    if (this.#waiters.size === 0) return
    for (const { request, decision } of this.#decider.release(this.#nowMs())) {
      const waiter = this.#waiters.get(request.id)
      this.#waiters.delete(request.id)
      waiter?.resolve(decision)
    }
  }

  #scheduleRelease (): void {
    this.#releaseTimer ??= this.options.clock.setTimer(RELEASE_INTERVAL_MS, () => {
      this.#releaseTimer = undefined
      this.#release()
      if (this.#waiters.size > 0) this.#scheduleRelease()
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
