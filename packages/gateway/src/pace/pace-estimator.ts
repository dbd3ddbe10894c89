/**
 * Estimates the pace of each runner from its answers, relative to an average runner. The load it answers: runners of one service
 * that differ in speed, with so many hosts that each sees only few answers of each runner. Every host compares the durations of
 * answers with what it expects of the same kind of work, and all hosts add up what they found. State without I/O.
 */

/** What the answers of one runner show: the sum of the logarithms of its durations over the expected ones, and their number. */
export type PaceEvidence = { logRatioSum: number, answers: number }

/** Evidence that one host, or a group of hosts, has of a runner. */
export type PaceReport = PaceEvidence & { runnerId: string }

export type PaceObservation = {
  runnerId: string
  /** Names the kind of work: durations are compared within it. */
  work: string
  durationMs: number
}

type AgedEvidence = PaceEvidence & { updatedMs: number }

type Expectation = { logDuration: number, answers: number }

/** Evidence decays to 1/e in this time. Long enough for a few answers a second over all hosts, short enough to notice a change. */
const MEMORY_MS = 15_000
/** Evidence counts as if the runner had given this many more answers at the average pace, so that a single one changes little. */
const PRIOR_ANSWERS = 4
/** Durations are compared once this many answers have shown what to expect. */
const MIN_EXPECTATION_ANSWERS = 2
/** Lowest weight of a new answer in what is expected. */
const MIN_EXPECTATION_GAIN = 0.05
/** No answer counts as more than five times slower or faster, since a single one may have been held up on the way. */
const MAX_LOG_RATIO = Math.log(5)
/** Paces are stated in steps of this ratio, so that the order of equal runners doesn't change with every answer. */
const LOG_STEP = 0.1
/** Relative error of a number in a report. */
const ROUNDING = 1e-5
/** Evidence of fewer answers than this is dropped. */
const FORGET_BELOW_ANSWERS = 0.05
/** Kinds of work that are kept; the oldest is dropped first. */
const MAX_WORKS = 1_024

const NO_EVIDENCE: PaceEvidence = { logRatioSum: 0, answers: 0 }

export class PaceEstimator {
  readonly #own = new Map<string, AgedEvidence>()
  readonly #expectations = new Map<string, Expectation>()
  #others: ReadonlyMap<string, PaceEvidence> = new Map()

  private constructor () {}

  static create (): PaceEstimator {
    return new PaceEstimator()
  }

  /** Records how long an answer of a runner took. */
  observe ({ runnerId, work, durationMs }: PaceObservation, nowMs: number): void {
    if (!(durationMs > 0)) return
    const logDuration = Math.log(durationMs)
    const expectation = this.#expectationOf(work)
    const logSlowness = meanLogRatio(this.#allOf(runnerId, nowMs))
    if (expectation.answers >= MIN_EXPECTATION_ANSWERS) this.#count(runnerId, logDuration - expectation.logDuration, nowMs)
    expectation.answers += 1
    const gain = Math.max(1 / expectation.answers, MIN_EXPECTATION_GAIN)
    expectation.logDuration += gain * (logDuration - logSlowness - expectation.logDuration)
  }

  /** Pace of a runner by its answers at all hosts: 1 for an average runner, 0.5 for one that takes twice as long. */
  paceOf (runnerId: string, nowMs: number): number {
    const steps = Math.round(meanLogRatio(this.#allOf(runnerId, nowMs)) / LOG_STEP)
    return Math.exp(-steps * LOG_STEP)
  }

  /** What this host's own answers show, for other hosts. */
  ownReports (nowMs: number): PaceReport[] {
    const reports: PaceReport[] = []
    for (const [runnerId, evidence] of this.#own) {
      decay(evidence, nowMs)
      if (evidence.answers < FORGET_BELOW_ANSWERS) this.#own.delete(runnerId)
      else reports.push({ runnerId, logRatioSum: evidence.logRatioSum, answers: evidence.answers })
    }
    return reports
  }

  /** Sets the evidence of all other hosts together. */
  setOthers (reports: readonly PaceReport[]): void {
    this.#others = new Map(reports.map((report) => [report.runnerId, report]))
  }

  /** Forgets runners that are no longer listed. */
  retain (runnerIds: ReadonlySet<string>): void {
    for (const id of this.#own.keys()) if (!runnerIds.has(id)) this.#own.delete(id)
  }

  #allOf (runnerId: string, nowMs: number): PaceEvidence {
    return addEvidence(this.#ownOf(runnerId, nowMs) ?? NO_EVIDENCE, this.#others.get(runnerId) ?? NO_EVIDENCE)
  }

  #ownOf (runnerId: string, nowMs: number): AgedEvidence | undefined {
    const evidence = this.#own.get(runnerId)
    if (evidence !== undefined) decay(evidence, nowMs)
    return evidence
  }

  #count (runnerId: string, logRatio: number, nowMs: number): void {
    const evidence = this.#ownOf(runnerId, nowMs) ?? { logRatioSum: 0, answers: 0, updatedMs: nowMs }
    evidence.logRatioSum += Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, logRatio))
    evidence.answers += 1
    this.#own.set(runnerId, evidence)
  }

  #expectationOf (work: string): Expectation {
    const known = this.#expectations.get(work)
    if (known !== undefined) return known
    const expectation = { logDuration: 0, answers: 0 }
    const [oldest] = this.#expectations.keys()
    if (this.#expectations.size >= MAX_WORKS && oldest !== undefined) this.#expectations.delete(oldest)
    this.#expectations.set(work, expectation)
    return expectation
  }
}

/** Whether evidence shows a pace that differs from the average enough to be worth reporting. */
export function deviates (evidence: PaceEvidence): boolean {
  return Math.abs(meanLogRatio(evidence)) >= LOG_STEP / 2
}

/** Whether evidence from another host can be added up. */
export function isUsableEvidence ({ logRatioSum, answers }: PaceEvidence): boolean {
  return Number.isFinite(logRatioSum) && Number.isFinite(answers) && answers >= 0 && Math.abs(logRatioSum) <= answers * MAX_LOG_RATIO * (1 + ROUNDING)
}

/** Adds up evidence of several hosts, by runner. */
export function sumPaceReports (all: readonly (readonly PaceReport[])[]): PaceReport[] {
  const total = new Map<string, PaceReport>()
  for (const report of all.flat()) {
    const known = total.get(report.runnerId)
    total.set(report.runnerId, known === undefined ? report : { runnerId: report.runnerId, ...addEvidence(known, report) })
  }
  return [...total.values()]
}

function addEvidence (one: PaceEvidence, other: PaceEvidence): PaceEvidence {
  return { logRatioSum: one.logRatioSum + other.logRatioSum, answers: one.answers + other.answers }
}

function meanLogRatio ({ logRatioSum, answers }: PaceEvidence): number {
  return logRatioSum / (answers + PRIOR_ANSWERS)
}

function decay (evidence: AgedEvidence, nowMs: number): void {
  const factor = Math.exp(-(nowMs - evidence.updatedMs) / MEMORY_MS)
  evidence.logRatioSum *= factor
  evidence.answers *= factor
  evidence.updatedMs = nowMs
}
