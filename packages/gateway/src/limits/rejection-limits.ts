/**
 * Limits on the requests that runners reject: a runner that names one fails if it has to reject more in a second. The runners of
 * a service name it at the same time, so it is assumed of those of which no answer is known yet: those that have just started.
 */
import type { AnswerLimit } from '../forward/types.js'
import { RunnerLimits, type RunnerLimitsParts } from './runner-limits.js'
import type { LimitReport, RunnerProcess } from './types.js'

/** Reports on other runners of the service that are enough to assume a runner's limit. */
const MAX_ASSUMED_REPORTS = 2

export class RejectionLimits {
  readonly #limits: RunnerLimits

  private constructor (parts: RunnerLimitsParts, private readonly serviceOf: (runnerId: string) => string | undefined) {
    this.#limits = RunnerLimits.create(parts)
  }

  static create (parts: RunnerLimitsParts, serviceOf: (runnerId: string) => string | undefined): RejectionLimits {
    return new RejectionLimits(parts, serviceOf)
  }

  /** Applies an answer of a runner. @param requestedMs when its request was written, by the clock of `InstantSource` */
  onAnswer (runner: RunnerProcess, limit: AnswerLimit, requestedMs: number): void {
    this.#limits.onAnswer(runner, limit, requestedMs, this.limitOf(runner) !== undefined)
  }

  receive (reports: readonly LimitReport[], transitMs: number): void {
    this.#limits.receive(reports, transitMs)
  }

  /** Absent if there are none. */
  reports (): LimitReport[] | undefined {
    if (this.#limits.isEmpty) return undefined
    const reports = this.#limits.reports()
    return reports.length === 0 ? undefined : reports
  }

  /** The reports from which another host derives this runner's limit; absent if there are none. */
  reportsFor (runner: RunnerProcess): LimitReport[] | undefined {
    if (this.#limits.isEmpty) return undefined
    const all = this.#limits.reports()
    const own = all.filter(({ runnerId }) => runnerId === runner.id)
    if (own.length > 0) return own
    const service = this.serviceOf(runner.id)
    const ofService = all.filter(({ runnerId, requestsPerS }) => requestsPerS !== undefined && this.serviceOf(runnerId) === service)
    return ofService.length === 0 ? undefined : ofService.slice(0, MAX_ASSUMED_REPORTS)
  }

  /** Rejections a second at which the runner fails; undefined if it bears any number. */
  limitOf (runner: RunnerProcess): number | undefined {
    if (this.#limits.isEmpty) return undefined
    const own = this.#limits.limitOf(runner)
    if (own !== undefined) return own.requestsPerS
    return this.#limits.isKnownUnlimited(runner) ? undefined : this.#lowestOfService(runner.id)
  }

  /** Runners whose limit is in force. */
  processes (): RunnerProcess[] {
    return this.#limits.processes()
  }

  /** Limits that runners named, by runner id. */
  inForce (): Map<string, number> {
    return this.#limits.inForce()
  }

  sweep (): void {
    this.#limits.sweep()
  }

  #lowestOfService (runnerId: string): number | undefined {
    const service = this.serviceOf(runnerId)
    if (service === undefined) return undefined
    const limits = [...this.#limits.inForce()].filter(([id]) => this.serviceOf(id) === service).map(([, limit]) => limit)
    return limits.length === 0 ? undefined : Math.min(...limits)
  }
}
