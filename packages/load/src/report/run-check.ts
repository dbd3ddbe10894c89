import type { RequestOutcome } from '../caller/types.js'
import type { ServiceStats } from './stats.js'
import type { RunsReport } from './types.js'

/** Collects the keys of calls that must not have run, and compares them with the runs that services counted. */
export class RunCheck {
  /** Keys for which every outcome so far states that the call did not run. */
  readonly #notRun = new Set<string>()
  readonly #mayHaveRun = new Set<string>()

  private constructor () {}

  static create (): RunCheck {
    return new RunCheck()
  }

  add ({ key, ending }: RequestOutcome): void {
    if (key === undefined) return
    const notRun = ending.kind === 'unreachable' || (ending.kind === 'refused' && ending.ran === 'no')
    if (notRun && !this.#mayHaveRun.has(key)) this.#notRun.add(key)
    if (notRun) return
    this.#mayHaveRun.add(key)
    this.#notRun.delete(key)
  }

  /** Sums over all services; a key counts as run if any service ran it. */
  report (pairs: { before: ServiceStats, after: ServiceStats }[]): RunsReport {
    const ranTwice = pairs.reduce((total, { before, after }) => total + after.ranTwice - before.ranTwice, 0)
    const ran = [...this.#notRun].filter((key) => pairs.some(({ before, after }) => (after.runs[key] ?? 0) > (before.runs[key] ?? 0)))
    return { ranTwice, ranThoughRefused: ran.length }
  }
}
