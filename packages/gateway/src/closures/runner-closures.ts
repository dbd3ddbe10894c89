/**
 * Whether a runner is closed to this host, by whatever it said itself: that it leaves, that it wants a pause, or that its limit
 * is used up. The choice of runners, refusals, repeats and the planner of orders all ask here.
 */
import type { Clock, Logger } from '@figloom/runtime'
import { PauseWord } from '../forward/types.js'
import type { InstantSource } from '../lease/instant.js'
import type { LimitControl } from '../limits/limit-control.js'
import type { ClosureMetrics } from './closure-metrics.js'
import type { LeavingRunners, LeavingWord } from './leaving-runners.js'
import { RunnerPauses } from './runner-pauses.js'
import { ClosedBy, GateState, type LeavingReport, type RunnerGate, type LocatedRunner, type RunnerWords } from './types.js'

/** Pause where a runner asks for one in a form that can't be read. */
const UNREADABLE_PAUSE_MS = 1_000

/** What an answer to a request said. */
export type WordsHeard = { runner: LocatedRunner, requestId: string, words: RunnerWords }

export type RunnerClosuresParts = {
  clock: Clock
  instants: InstantSource
  log: Logger
  metrics: ClosureMetrics
  /** Name of this host. */
  host: string
  limits: LimitControl
  leaving: LeavingRunners
}

export class RunnerClosures {
  readonly #pauses = RunnerPauses.create()

  private constructor (private readonly parts: RunnerClosuresParts) {}

  static create (parts: RunnerClosuresParts): RunnerClosures {
    return new RunnerClosures(parts)
  }

  gate (runner: LocatedRunner): RunnerGate {
    if (this.parts.leaving.isLeaving(runner)) return { state: GateState.Closed, by: ClosedBy.Leaving, opensInMs: Infinity }
    const opensInMs = this.#pauses.opensInMs(runner, this.#nowMs())
    if (opensInMs > 0) return { state: GateState.Closed, by: ClosedBy.Pause, opensInMs }
    return this.parts.limits.gate(runner)
  }

  /** Whether the runner takes an order or a question of this host; limits are on requests of callers. */
  takesOrders (runner: LocatedRunner): boolean {
    return !this.parts.leaving.isLeaving(runner) && this.#pauses.opensInMs(runner, this.#nowMs()) === 0
  }

  /** A request goes to the runner as soon as it has a connection. */
  onChosen (runner: LocatedRunner, requestId: string): void {
    this.#pauses.onChosen(runner, requestId, this.#nowMs())
  }

  /** Whether a request that has its connection now may still be written. */
  mayWrite (runner: LocatedRunner, requestId: string): boolean {
    const may = !this.parts.leaving.isLeaving(runner) && this.#pauses.mayWrite(runner, requestId, this.#nowMs())
    if (!may) this.parts.metrics.withheld.inc()
    return may
  }

  /** Takes over what an answer of the runner says. */
  onAnswer ({ runner, requestId, words }: WordsHeard): void {
    if (words.leaving) this.#hearLeaving(runner, { origin: this.parts.host, heardMs: this.parts.instants.nowMs() })
    const { pause } = words
    if (pause.word === PauseWord.None) return this.#pauses.onTaken(runner, requestId)
    const readable = pause.word === PauseWord.Named
    this.#pause(runner, readable ? pause.pauseMs : UNREADABLE_PAUSE_MS, readable ? undefined : pause.text)
  }

  /** A request ended, with or without an answer. */
  onEnded (runner: LocatedRunner, requestId: string): void {
    this.#pauses.onEnded(runner, requestId)
  }

  /** Takes over what other hosts heard; their message was under way for `transitMs` at the most. */
  hear (reports: readonly LeavingReport[], transitMs: number): void {
    const nowMs = this.parts.instants.nowMs()
    for (const { runnerId, address, startedUnixMs, origin, heardAgoMs } of reports) {
      this.#hearLeaving({ id: runnerId, address, startedUnixMs }, { origin, heardMs: nowMs - heardAgoMs - transitMs })
    }
  }

  /** What other hosts have to know. */
  leavingReports (): LeavingReport[] {
    return this.parts.leaving.reports(this.parts.instants.nowMs())
  }

  sweep (): void {
    this.parts.leaving.sweep(this.parts.instants.nowMs())
    this.#pauses.sweep(this.#nowMs())
  }

  #hearLeaving (runner: LocatedRunner, word: LeavingWord): void {
    if (!this.parts.leaving.hear(runner, word)) return
    this.parts.metrics.leaving.inc()
    const heardAgoMs = Math.round(this.parts.instants.nowMs() - word.heardMs)
    this.parts.log.info('runner says that it leaves', { runner: runner.id, address: runner.address, from: word.origin, heardAgoMs })
  }

  #pause (runner: LocatedRunner, pauseMs: number, unreadable: string | undefined): void {
    this.#pauses.onPause(runner, pauseMs, this.#nowMs())
    this.parts.metrics.pauses.inc()
    const fields = { runner: runner.id, address: runner.address, pauseMs: Math.round(pauseMs), unreadable }
    if (unreadable === undefined) this.parts.log.info('runner asks for a pause', fields)
    else this.parts.log.warn('runner asks for a pause that can not be read', fields)
  }

  #nowMs (): number {
    return this.parts.clock.monotonicMs()
  }
}
