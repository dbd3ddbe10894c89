/**
 * Decides whether a runner is closed to requests of this host because of a signal in its answers: it leaves, it asked for a
 * pause, or its limit is used up. Used by the choice of runners, by refusals and retries, and by the planner of orders.
 */
import type { Clock, Logger } from '@figloom/runtime'
import { PauseSignal } from '../forward/types.js'
import type { InstantSource } from '../lease/instant.js'
import type { LimitControl } from '../limits/limit-control.js'
import type { GateMetrics } from './gate-metrics.js'
import type { LeavingRunners, LeavingSignal } from './leaving-runners.js'
import { RunnerPauses } from './runner-pauses.js'
import { ClosedBy, GateState, type LeavingReport, type RunnerGate, type LocatedRunner, type RunnerSignals } from './types.js'

/** Default pause for a runner that asks for one in a form that can't be parsed. */
const UNREADABLE_PAUSE_MS = 1_000

/** Signals in a runner's answer to a request. */
export type ReceivedSignals = { runner: LocatedRunner, requestId: string, signals: RunnerSignals }

export type RunnerGatesParts = {
  clock: Clock
  instants: InstantSource
  log: Logger
  metrics: GateMetrics
  /** Name of this host. */
  host: string
  limits: LimitControl
  leaving: LeavingRunners
}

export class RunnerGates {
  readonly #pauses = RunnerPauses.create()

  private constructor (private readonly parts: RunnerGatesParts) {}

  static create (parts: RunnerGatesParts): RunnerGates {
    return new RunnerGates(parts)
  }

  gate (runner: LocatedRunner): RunnerGate {
    if (this.parts.leaving.isLeaving(runner)) return { state: GateState.Closed, by: ClosedBy.Leaving, opensInMs: Infinity }
    const opensInMs = this.#pauses.opensInMs(runner, this.#nowMs())
    if (opensInMs > 0) return { state: GateState.Closed, by: ClosedBy.Pause, opensInMs }
    return this.parts.limits.gate(runner)
  }

  /** Whether the runner accepts orders and polls of this host; limits apply to requests of callers only. */
  acceptsOrders (runner: LocatedRunner): boolean {
    return !this.parts.leaving.isLeaving(runner) && this.#pauses.opensInMs(runner, this.#nowMs()) === 0
  }

  /** The runner was chosen for a request, which is written as soon as it has a connection. */
  onChosen (runner: LocatedRunner, requestId: string): void {
    this.#pauses.onChosen(runner, requestId, this.#nowMs())
  }

  /** Whether a request that now has a connection may still be written. */
  mayWrite (runner: LocatedRunner, requestId: string): boolean {
    const isAllowed = !this.parts.leaving.isLeaving(runner) && this.#pauses.mayWrite(runner, requestId, this.#nowMs())
    if (!isAllowed) this.parts.metrics.withheld.inc()
    return isAllowed
  }

  /** Applies the signals in a runner's answer. */
  onAnswer ({ runner, requestId, signals }: ReceivedSignals): void {
    if (signals.leaving) this.#receiveLeaving(runner, { origin: this.parts.host, receivedMs: this.parts.instants.nowMs() })
    const { pause } = signals
    if (pause.signal === PauseSignal.None) return this.#pauses.onAccepted(runner, requestId)
    const isReadable = pause.signal === PauseSignal.Named
    this.#applyPause(runner, isReadable ? pause.pauseMs : UNREADABLE_PAUSE_MS, isReadable ? undefined : pause.text)
  }

  /** A request has left the runner. @param answered with its whole answer */
  onEnded (runner: LocatedRunner, requestId: string, answered: boolean): void {
    this.#pauses.onEnded(runner, requestId)
    this.parts.limits.onEnded(runner, answered)
  }

  /** Applies the reports of another host. @param transitMs longest time that its message can have been in flight */
  receive (reports: readonly LeavingReport[], transitMs: number): void {
    const nowMs = this.parts.instants.nowMs()
    for (const { runnerId, address, startedUnixMs, origin, heardAgoMs } of reports) {
      this.#receiveLeaving({ id: runnerId, address, startedUnixMs }, { origin, receivedMs: nowMs - heardAgoMs - transitMs })
    }
  }

  /** Reports for other hosts. */
  leavingReports (): LeavingReport[] {
    return this.parts.leaving.reports(this.parts.instants.nowMs())
  }

  sweep (): void {
    this.parts.leaving.sweep(this.parts.instants.nowMs())
    this.#pauses.sweep(this.#nowMs())
  }

  #receiveLeaving (runner: LocatedRunner, signal: LeavingSignal): void {
    if (!this.parts.leaving.receive(runner, signal)) return
    this.parts.metrics.leaving.inc()
    const heardAgoMs = Math.round(this.parts.instants.nowMs() - signal.receivedMs)
    this.parts.log.info('runner says that it leaves', { runner: runner.id, address: runner.address, from: signal.origin, heardAgoMs })
  }

  #applyPause (runner: LocatedRunner, pauseMs: number, unreadable: string | undefined): void {
    this.#pauses.onPause(runner, pauseMs, this.#nowMs())
    this.parts.metrics.pauses.inc()
    const fields = { runner: runner.id, address: runner.address, pauseMs: Math.round(pauseMs), unreadable }
    if (unreadable === undefined) this.parts.log.info('runner asks for a pause', fields)
    else this.parts.log.warn('runner asks for a pause that can not be parsed', fields)
  }

  #nowMs (): number {
    return this.parts.clock.monotonicMs()
  }
}
