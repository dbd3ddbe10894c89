/**
 * Decides whether this host is cut off from runners: most of a random sample of the runners that it used of late are reached by other
 * hosts only. Bytes on old connections don't count, since these may live on while new connections fail. State without I/O.
 */
import type { TrackedRunner } from './tracked-runner.js'

/** Runners of a sample, at most: with two samples in a row, enough to tell most from a third. */
const SAMPLE_SIZE = 16
const MIN_POSITIVE_SAMPLES = 2
/** A sample is given up after this time. */
const SAMPLE_MS = 2_000
/** After other hosts didn't reach a runner either, it is probed, and they are asked, no sooner than after this time. */
export const UNCONFIRMED_TTL_MS = 500
/** Interval between the starts of two samples. It doubles with each that finds the host not cut off, until another path breaks. */
const SAMPLE_INTERVAL_MS = 500
const MAX_SAMPLE_INTERVAL_MS = 8_000
/** Broken paths of a host that is cut off, at least: a single one is a matter of its runner. */
const MIN_BROKEN = 2
const MIN_BROKEN_SHARE = 0.6
/** The state ends when no more than this share of the runners used of late is out of reach. */
const MAX_LEFT_SHARE = 0.45
/** It also ends when all but one of the last probes succeeded. */
const LAST_PROBES = 6
const LAST_SUCCESSES = 5
/** Shortest duration of the state. It grows with each cut that begins soon after the last one: links may come and go. */
const MIN_HOLD_MS = 1_000
const HOLD_FACTOR = 3
const MAX_HOLD_MS = 10_000
const REPEATED_WITHIN_MS = 15_000

type Sample = { startedMs: number, members: readonly TrackedRunner[] }

export class CutOffDetector {
  #sample: Sample | undefined
  #sampledMs = -Infinity
  #intervalMs = SAMPLE_INTERVAL_MS
  /** Samples in a row that found most runners out of reach. */
  #positiveSamples = 0
  #sinceMs: number | undefined
  #endedMs = -Infinity
  #holdMs = MIN_HOLD_MS
  #lastProbes: boolean[] = []

  private constructor () {}

  static create (): CutOffDetector {
    return new CutOffDetector()
  }

  /** Start of the present cut; undefined if the host isn't cut off. */
  get sinceMs (): number | undefined {
    return this.#sinceMs
  }

  maySample (brokenCount: number, nowMs: number): boolean {
    if (this.#sinceMs !== undefined || this.#sample !== undefined || brokenCount === 0) return false
    return this.#positiveSamples > 0 || nowMs - this.#sampledMs >= this.#intervalMs
  }

  /** A path broke: the share of those out of reach may have changed. */
  onBroken (): void {
    this.#intervalMs = SAMPLE_INTERVAL_MS
  }

  /** Starts a sample of runners. @param recent the runners used of late, in random order */
  sample (recent: readonly TrackedRunner[], nowMs: number): void {
    // Paths that broke in the last cut return one by one: they say nothing of a new one.
    const members = recent.filter(({ brokenSinceMs }) => brokenSinceMs === undefined || brokenSinceMs > this.#endedMs).slice(0, SAMPLE_SIZE)
    this.#sample = { startedMs: nowMs, members }
    this.#sampledMs = nowMs
  }

  /** Runners of the present sample of which it isn't known yet whether this host reaches them. */
  undecided (): TrackedRunner[] {
    const sample = this.#sample
    return sample === undefined ? [] : sample.members.filter((tracked) => !isDecided(tracked, sample.startedMs))
  }

  /** Whether the host is found to be cut off now. */
  begins (brokenCount: number, nowMs: number): boolean {
    const sample = this.#sample
    if (sample === undefined) return false
    const { startedMs, members } = sample
    const broken = members.filter(({ isBroken }) => isBroken).length
    const reached = members.filter(({ isBroken, acceptedMs }) => !isBroken && acceptedMs >= startedMs).length
    const unconfirmed = members.filter((tracked) => isUnconfirmed(tracked, startedMs)).length
    const isComplete = members.every((tracked) => isDecided(tracked, startedMs))
    const isOver = isComplete || nowMs - startedMs >= SAMPLE_MS
    const judged = isComplete ? broken + reached : members.length - unconfirmed
    const isPositive = brokenCount >= MIN_BROKEN && broken > 0 && broken >= judged * MIN_BROKEN_SHARE
    if (!isPositive && !isOver) return false
    this.#sample = undefined
    return isPositive ? this.#onPositive(startedMs, nowMs) : this.#onNegative()
  }

  #onPositive (startedMs: number, nowMs: number): boolean {
    this.#positiveSamples += 1
    if (this.#positiveSamples < MIN_POSITIVE_SAMPLES) return false
    this.#begin(startedMs, nowMs)
    return true
  }

  #onNegative (): boolean {
    this.#positiveSamples = 0
    this.#intervalMs = Math.min(MAX_SAMPLE_INTERVAL_MS, this.#intervalMs * 2)
    return false
  }

  /** A probe of a runner that was out of reach ended. */
  onProbe (isAccepted: boolean): void {
    this.#lastProbes = [...this.#lastProbes, isAccepted].slice(-LAST_PROBES)
  }

  /** Whether the cut is found to have ended now. @param leftCount runners out of reach, of the `recentCount` used of late */
  ends (leftCount: number, recentCount: number, nowMs: number): boolean {
    if (this.#sinceMs === undefined || nowMs - this.#sinceMs < this.#holdMs) return false
    const isMostlyReached = leftCount <= recentCount * MAX_LEFT_SHARE
    const successes = this.#lastProbes.filter((isAccepted) => isAccepted).length
    if (!isMostlyReached && successes < LAST_SUCCESSES) return false
    this.#sinceMs = undefined
    this.#endedMs = nowMs
    return true
  }

  #begin (startedMs: number, nowMs: number): void {
    const isRepeated = nowMs - this.#endedMs < REPEATED_WITHIN_MS
    this.#holdMs = isRepeated ? Math.min(MAX_HOLD_MS, this.#holdMs * HOLD_FACTOR) : MIN_HOLD_MS
    this.#sample = undefined
    this.#positiveSamples = 0
    this.#intervalMs = SAMPLE_INTERVAL_MS
    this.#sinceMs = startedMs
    this.#lastProbes = []
  }
}

function isUnconfirmed ({ isBroken, unconfirmedMs, acceptedMs }: TrackedRunner, startedMs: number): boolean {
  return !isBroken && unconfirmedMs >= startedMs - UNCONFIRMED_TTL_MS && acceptedMs < startedMs
}

function isDecided (tracked: TrackedRunner, startedMs: number): boolean {
  return tracked.isBroken || tracked.acceptedMs >= startedMs || isUnconfirmed(tracked, startedMs)
}
