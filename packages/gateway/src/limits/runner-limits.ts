/** Limits of one kind of all runners, estimated from the answers that this host receives and from the reports of other hosts. */
import type { Logger } from '@figloom/runtime'
import { LimitSignal, type AnswerLimit } from '../forward/types.js'
import type { InstantSource } from '../lease/instant.js'
import { LimitEstimate } from './limit-estimate.js'
import type { LimitReport, RunnerLimit, RunnerProcess } from './types.js'

/** Shortest time between two log lines about a runner whose limit can't be parsed. */
const UNREADABLE_LOG_MS = 10_000

/** Texts of the log lines about one kind of limits. */
export type LimitTexts = { named: string, changed: string, ended: string, unreadable: string }

/** Limits on the rate of requests. */
export const REQUEST_LIMIT_TEXTS: LimitTexts = {
  named: 'runner names a limit',
  changed: 'limit of a runner changed',
  ended: 'limit of a runner ended',
  unreadable: 'limit in an answer of a runner can not be parsed'
}

/** Limits on the rate of rejected requests. */
export const REJECTION_LIMIT_TEXTS: LimitTexts = {
  named: 'runner fails if it rejects more requests a second than this',
  changed: 'number of rejected requests at which a runner fails changed',
  ended: 'runner bears rejected requests again',
  unreadable: 'number of rejected requests at which a runner fails can not be parsed'
}

export type RunnerLimitsParts = {
  instants: InstantSource
  log: Logger
  texts: LimitTexts
  /** Incarnation of this host. */
  origin: string
  /** Called when the limit in force at a runner changes. @param before former limit in requests a second; undefined if there was none */
  onChange: (runner: RunnerProcess, before: number | undefined) => void
}

export class RunnerLimits {
  readonly #estimates = new Map<string, LimitEstimate>()
  /** Limit in force at the last check, by runner id. */
  readonly #inForce = new Map<string, number>()
  readonly #unreadableLoggedMs = new Map<string, number>()
  #lastNumber = 0

  private constructor (private readonly parts: RunnerLimitsParts) {}

  static create (parts: RunnerLimitsParts): RunnerLimits {
    return new RunnerLimits(parts)
  }

  /**
   * Applies the limit in a runner's answer.
   * @param requestedMs when its request was written, by the clock of `InstantSource`
   * @param isExpected the answer counts also without a limit, since one is assumed for the runner
   */
  onAnswer (runner: RunnerProcess, limit: AnswerLimit, requestedMs: number, isExpected = false): void {
    if (limit.signal === LimitSignal.Unreadable) return this.#logUnreadable(runner, limit.text)
    const isRelevant = limit.signal === LimitSignal.Named || isExpected || this.#estimates.has(runner.id)
    if (!isRelevant) return
    this.#lastNumber += 1
    this.receive([{
      runnerId: runner.id,
      startedUnixMs: runner.startedUnixMs,
      origin: this.parts.origin,
      number: this.#lastNumber,
      requestsPerS: limit.signal === LimitSignal.Named ? limit.requestsPerS : undefined,
      askedAgoMs: this.parts.instants.nowMs() - requestedMs,
      heardAgoMs: 0
    }])
  }

  /** Applies reports of this host or of others. @param transitMs longest time that another host's message can have been in flight */
  receive (reports: readonly LimitReport[], transitMs = 0): void {
    const nowMs = this.parts.instants.nowMs()
    for (const report of reports) {
      this.#estimateFor(report)?.receive({ ...report, askedAgoMs: report.askedAgoMs + transitMs }, nowMs)
      this.#checkForChange(report.runnerId, nowMs)
    }
  }

  /**
   * The limit in force at one start of a runner; undefined where there is none. A host whose list still shows an earlier start
   * sends to the later one, so the limit of that one applies.
   */
  limitOf (runner: RunnerProcess): RunnerLimit | undefined {
    return this.#estimateOf(runner)?.limit(this.parts.instants.nowMs())
  }

  /** Whether an answer of this start of a runner without a limit is known. */
  isKnownUnlimited (runner: RunnerProcess): boolean {
    const estimate = this.#estimateOf(runner)
    const nowMs = this.parts.instants.nowMs()
    return estimate !== undefined && estimate.limit(nowMs) === undefined && estimate.reports(nowMs).length > 0
  }

  /** Whether nothing is known of any runner. */
  get isEmpty (): boolean {
    return this.#estimates.size === 0
  }

  #estimateOf ({ id, startedUnixMs }: RunnerProcess): LimitEstimate | undefined {
    const estimate = this.#estimates.get(id)
    if (estimate === undefined) return undefined
    const isLaterStart = (estimate.startedUnixMs ?? 0) > (startedUnixMs ?? Infinity)
    return estimate.startedUnixMs === startedUnixMs || isLaterStart ? estimate : undefined
  }

  /** Reports for other hosts. */
  reports (): LimitReport[] {
    const nowMs = this.parts.instants.nowMs()
    return [...this.#estimates.values()].flatMap((estimate) => estimate.reports(nowMs))
  }

  /** Limits in force by runner id. */
  inForce (): Map<string, number> {
    const nowMs = this.parts.instants.nowMs()
    return new Map([...this.#estimates.values()].flatMap((estimate) => {
      const limit = estimate.limit(nowMs)
      return limit === undefined ? [] : [[estimate.runnerId, limit.requestsPerS]]
    }))
  }

  /** Runners whose limit is in force. */
  processes (): RunnerProcess[] {
    const nowMs = this.parts.instants.nowMs()
    return [...this.#estimates.values()].filter((estimate) => estimate.limit(nowMs) !== undefined)
      .map(({ runnerId, startedUnixMs }) => ({ id: runnerId, startedUnixMs }))
  }

  /** Drops the estimates that rest on no recent observation. */
  sweep (): void {
    const nowMs = this.parts.instants.nowMs()
    for (const [id, estimate] of this.#estimates) {
      this.#checkForChange(id, nowMs)
      if (estimate.reports(nowMs).length === 0) this.#estimates.delete(id)
    }
    for (const [id, loggedMs] of this.#unreadableLoggedMs) {
      if (nowMs - loggedMs >= UNREADABLE_LOG_MS) this.#unreadableLoggedMs.delete(id)
    }
  }

  /** Limits of a runner's former process don't apply to the new one; undefined for a report about an earlier process. */
  #estimateFor ({ runnerId, startedUnixMs }: LimitReport): LimitEstimate | undefined {
    const known = this.#estimates.get(runnerId)
    if (known !== undefined && known.startedUnixMs === startedUnixMs) return known
    if (known !== undefined && (known.startedUnixMs ?? 0) > (startedUnixMs ?? 0)) return undefined
    const estimate = LimitEstimate.create(runnerId, startedUnixMs)
    this.#estimates.set(runnerId, estimate)
    return estimate
  }

  #checkForChange (runnerId: string, nowMs: number): void {
    const estimate = this.#estimates.get(runnerId)
    const limit = estimate?.limit(nowMs)
    const before = this.#inForce.get(runnerId)
    if (limit?.requestsPerS === before) return
    if (limit === undefined) this.#inForce.delete(runnerId)
    else this.#inForce.set(runnerId, limit.requestsPerS)
    this.parts.onChange({ id: runnerId, startedUnixMs: estimate?.startedUnixMs }, before)
    const fields = {
      runner: runnerId,
      requestsPerS: limit?.requestsPerS,
      before,
      from: limit?.origin,
      heardAgoMs: limit && Math.round(limit.receivedAgoMs)
    }
    const { named, changed, ended } = this.parts.texts
    if (before === undefined) this.parts.log.info(named, fields)
    else this.parts.log.info(limit === undefined ? ended : changed, fields)
  }

  #logUnreadable ({ id }: RunnerProcess, text: string): void {
    const nowMs = this.parts.instants.nowMs()
    if (nowMs - (this.#unreadableLoggedMs.get(id) ?? -Infinity) < UNREADABLE_LOG_MS) return
    this.#unreadableLoggedMs.set(id, nowMs)
    this.parts.log.warn(this.parts.texts.unreadable, { runner: id, text })
  }
}
