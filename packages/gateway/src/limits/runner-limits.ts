/** The limits that runners name, as far as this host knows by its own answers and by other hosts. */
import type { Logger } from '@figloom/runtime'
import { LimitWord, type AnswerLimit } from '../forward/types.js'
import type { InstantSource } from '../lease/instant.js'
import { LimitBelief } from './limit-belief.js'
import type { LimitReport, RunnerLimit, RunnerProcess } from './types.js'

/** Pause between two lines on a runner whose limit can't be read. */
const UNREADABLE_LOG_MS = 10_000

export type RunnerLimitsParts = {
  instants: InstantSource
  log: Logger
  /** Incarnation of this host. */
  origin: string
  /** Called when the limit in force at a runner is another one than before; `before`: requests a second, absent where there was none. */
  onChange: (runner: RunnerProcess, before: number | undefined) => void
}

export class RunnerLimits {
  readonly #beliefs = new Map<string, LimitBelief>()
  /** Limit in force when last looked at, by runner. */
  readonly #inForce = new Map<string, number>()
  readonly #unreadableMs = new Map<string, number>()
  #number = 0

  private constructor (private readonly parts: RunnerLimitsParts) {}

  static create (parts: RunnerLimitsParts): RunnerLimits {
    return new RunnerLimits(parts)
  }

  /** Takes over what an answer of the runner says; its request was written at `askedMs` of the instants. */
  onAnswer (runner: RunnerProcess, limit: AnswerLimit, askedMs: number): void {
    if (limit.word === LimitWord.Unreadable) return this.#logUnreadable(runner, limit.text)
    const isNews = limit.word === LimitWord.Named || this.#beliefs.has(runner.id)
    if (!isNews) return
    this.#number += 1
    this.hear([{
      runnerId: runner.id,
      startedUnixMs: runner.startedUnixMs,
      origin: this.parts.origin,
      number: this.#number,
      requestsPerS: limit.word === LimitWord.Named ? limit.requestsPerS : undefined,
      askedAgoMs: this.parts.instants.nowMs() - askedMs,
      heardAgoMs: 0
    }])
  }

  /** Takes over words that this host or others got; those of others were under way for `transitMs` at the most. */
  hear (reports: readonly LimitReport[], transitMs = 0): void {
    const nowMs = this.parts.instants.nowMs()
    for (const report of reports) {
      this.#belief(report)?.hear({ ...report, askedAgoMs: report.askedAgoMs + transitMs }, nowMs)
      this.#noteChange(report.runnerId, nowMs)
    }
  }

  /** The limit in force at one start of a runner; undefined where there is none. */
  limitOf (runner: RunnerProcess): RunnerLimit | undefined {
    const belief = this.#beliefs.get(runner.id)
    if (belief === undefined || belief.startedUnixMs !== runner.startedUnixMs) return undefined
    return belief.limit(this.parts.instants.nowMs())
  }

  /** What other hosts have to know. */
  reports (): LimitReport[] {
    const nowMs = this.parts.instants.nowMs()
    return [...this.#beliefs.values()].flatMap((belief) => belief.reports(nowMs))
  }

  /** Limits in force by runner id. */
  inForce (): Map<string, number> {
    const nowMs = this.parts.instants.nowMs()
    return new Map([...this.#beliefs.values()].flatMap((belief) => {
      const limit = belief.limit(nowMs)
      return limit === undefined ? [] : [[belief.runnerId, limit.requestsPerS]]
    }))
  }

  /** Forgets what nobody has heard of for long. */
  sweep (): void {
    const nowMs = this.parts.instants.nowMs()
    for (const [id, belief] of this.#beliefs) {
      this.#noteChange(id, nowMs)
      if (belief.reports(nowMs).length === 0) this.#beliefs.delete(id)
    }
    for (const [id, loggedMs] of this.#unreadableMs) {
      if (nowMs - loggedMs >= UNREADABLE_LOG_MS) this.#unreadableMs.delete(id)
    }
  }

  /** A runner that started anew knows nothing of the limits of its former process. */
  #belief ({ runnerId, startedUnixMs }: LimitReport): LimitBelief | undefined {
    const known = this.#beliefs.get(runnerId)
    if (known !== undefined && known.startedUnixMs === startedUnixMs) return known
    if (known !== undefined && (known.startedUnixMs ?? 0) > (startedUnixMs ?? 0)) return undefined
    const belief = LimitBelief.create(runnerId, startedUnixMs)
    this.#beliefs.set(runnerId, belief)
    return belief
  }

  #noteChange (runnerId: string, nowMs: number): void {
    const belief = this.#beliefs.get(runnerId)
    const limit = belief?.limit(nowMs)
    const before = this.#inForce.get(runnerId)
    if (limit?.requestsPerS === before) return
    if (limit === undefined) this.#inForce.delete(runnerId)
    else this.#inForce.set(runnerId, limit.requestsPerS)
    this.parts.onChange({ id: runnerId, startedUnixMs: belief?.startedUnixMs }, before)
    const fields = { runner: runnerId, requestsPerS: limit?.requestsPerS, before, from: limit?.origin, heardAgoMs: limit && Math.round(limit.heardAgoMs) }
    if (before === undefined) this.parts.log.info('runner names a limit', fields)
    else this.parts.log.info(limit === undefined ? 'limit of a runner ended' : 'limit of a runner changed', fields)
  }

  #logUnreadable ({ id }: RunnerProcess, text: string): void {
    const nowMs = this.parts.instants.nowMs()
    if (nowMs - (this.#unreadableMs.get(id) ?? -Infinity) < UNREADABLE_LOG_MS) return
    this.#unreadableMs.set(id, nowMs)
    this.parts.log.warn('limit of a runner can not be read', { runner: id, text })
  }
}
