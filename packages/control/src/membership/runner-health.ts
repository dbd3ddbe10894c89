/** Health of backend servers as this host sees it: reports, connections and drains. */
import { isDraining } from './membership-state.js'
import type { MembershipState } from './types.js'

/** Signs of one runner that this host saw itself. Times are monotonic, in milliseconds. */
export type RunnerSigns = {
  /** First failed connection or report since the last success. */
  failingSinceMs?: number
  failures: number
  answeredMs?: number
  /** Whether its last report says that it is leaving. */
  leaving: boolean
}

/** Bounds for runners. */
export type RunnerTimes = {
  /** Silence of reports after which a runner gets no new work, in milliseconds. */
  silentMs: number
  /** Failures in a row after which a runner gets no new work. */
  maxFailures: number
}

export const DEFAULT_RUNNER_TIMES: RunnerTimes = { silentMs: 4000, maxFailures: 3 }

/** Why a runner gets no new work. */
export const RunnerBar = { Draining: 'draining', Leaving: 'leaving', Failing: 'failing', Silent: 'silent' } as const
export type RunnerBar = (typeof RunnerBar)[keyof typeof RunnerBar]

/** Signs of the runners that a host reads reports of. */
export class RunnerHealth {
  readonly #signs = new Map<string, RunnerSigns>()

  private constructor (private readonly times: RunnerTimes) {}

  static create (times: RunnerTimes = DEFAULT_RUNNER_TIMES): RunnerHealth {
    return new RunnerHealth(times)
  }

  /** Notes a report or a whole answer; `leaving` is the runner's own word and is not taken back by answers. */
  answered (runner: string, nowMs: number, leaving?: boolean): void {
    const known = this.#signs.get(runner)
    this.#signs.set(runner, { failures: 0, answeredMs: nowMs, leaving: leaving ?? known?.leaving ?? false })
  }

  /** Notes a failed connection or a report that did not come. */
  failed (runner: string, nowMs: number): void {
    const known = this.#signs.get(runner) ?? { failures: 0, leaving: false }
    this.#signs.set(runner, { ...known, failures: known.failures + 1, failingSinceMs: known.failingSinceMs ?? nowMs })
  }

  /** Forgets runners that no pool names any more. */
  keepOnly (runners: ReadonlySet<string>): void {
    for (const runner of this.#signs.keys()) if (!runners.has(runner)) this.#signs.delete(runner)
  }

  /** Why a runner gets no new work from this host; undefined if it may. */
  barOf (runner: string, state: Readonly<MembershipState>, nowMs: number): RunnerBar | undefined {
    if (isDraining(state, runner)) return RunnerBar.Draining
    const signs = this.#signs.get(runner)
    if (signs === undefined) return RunnerBar.Silent
    if (signs.leaving) return RunnerBar.Leaving
    if (signs.failures >= this.times.maxFailures) return RunnerBar.Failing
    const silent = signs.answeredMs === undefined || nowMs - signs.answeredMs >= this.times.silentMs
    return silent ? RunnerBar.Silent : undefined
  }
}
