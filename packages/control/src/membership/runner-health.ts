/** Health of runners as observed by this host: reports, connections and drains. */
import { isDraining } from './membership-state.js'
import type { MembershipState } from './types.js'

/** What this host itself observed of a runner. Times are monotonic, in milliseconds. */
export type RunnerObservation = {
  /** Time of the first failed connection or missing report since the last success. */
  failingSinceMs?: number
  failures: number
  answeredMs?: number
  /** Whether the runner reported that it is leaving. */
  leaving: boolean
}

/** Limits above which a runner gets no new work. */
export type RunnerHealthLimits = {
  /** Time since the last answer, in milliseconds. */
  silentAfterMs: number
  /** Consecutive failures. */
  maxFailures: number
}

export const DEFAULT_RUNNER_HEALTH_LIMITS: RunnerHealthLimits = { silentAfterMs: 4000, maxFailures: 3 }

/** Why a runner gets no new work. */
export const UnavailableReason = { Draining: 'draining', Leaving: 'leaving', Failing: 'failing', Silent: 'silent' } as const
export type UnavailableReason = (typeof UnavailableReason)[keyof typeof UnavailableReason]

/** Health of the runners whose reports this host reads. */
export class RunnerHealth {
  readonly #observations = new Map<string, RunnerObservation>()

  private constructor (private readonly limits: RunnerHealthLimits) {}

  static create (limits: RunnerHealthLimits = DEFAULT_RUNNER_HEALTH_LIMITS): RunnerHealth {
    return new RunnerHealth(limits)
  }

  /** Records a report or a complete answer. Only a report sets `leaving`; an answer leaves it unchanged. */
  recordAnswer (runner: string, nowMs: number, leaving?: boolean): void {
    const known = this.#observations.get(runner)
    this.#observations.set(runner, { failures: 0, answeredMs: nowMs, leaving: leaving ?? known?.leaving ?? false })
  }

  /** Records a failed connection or a missing report. */
  recordFailure (runner: string, nowMs: number): void {
    const known = this.#observations.get(runner) ?? { failures: 0, leaving: false }
    this.#observations.set(runner, { ...known, failures: known.failures + 1, failingSinceMs: known.failingSinceMs ?? nowMs })
  }

  /** Removes all other runners, which no pool contains any more. */
  retainRunners (runners: ReadonlySet<string>): void {
    for (const runner of this.#observations.keys()) if (!runners.has(runner)) this.#observations.delete(runner)
  }

  /** Returns why a runner gets no new work from this host; undefined if it does get work. */
  reasonUnavailable (runner: string, state: Readonly<MembershipState>, nowMs: number): UnavailableReason | undefined {
    if (isDraining(state, runner)) return UnavailableReason.Draining
    const observation = this.#observations.get(runner)
    if (observation === undefined) return UnavailableReason.Silent
    if (observation.leaving) return UnavailableReason.Leaving
    if (observation.failures >= this.limits.maxFailures) return UnavailableReason.Failing
    const silent = observation.answeredMs === undefined || nowMs - observation.answeredMs >= this.limits.silentAfterMs
    return silent ? UnavailableReason.Silent : undefined
  }
}
