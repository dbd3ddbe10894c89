/**
 * Decides whether this host is cut off from runners: at least half of a random sample of the runners that it used of late are reached
 * by other hosts only. Bytes on old connections don't count, since these may live on while new connections fail. State without I/O.
 */
import type { TrackedRunner } from './tracked-runner.js'

/** Runners of a sample, at most: enough to tell a half from a tenth. */
const SAMPLE_SIZE = 8
/** A sample is given up after this time. */
const SAMPLE_MS = 2_000
/** After other hosts didn't reach a runner either, it is probed, and they are asked, no sooner than after this time. */
export const UNCONFIRMED_TTL_MS = 500
/** Interval between the starts of two samples. */
const SAMPLE_INTERVAL_MS = 500
/** Broken paths of a host that is cut off, at least: a single one is a matter of its runner. */
const MIN_BROKEN = 2
const MIN_BROKEN_SHARE = 0.5
/** The state ends when no more than this share of the runners used of late is out of reach. */
const MAX_LEFT_SHARE = 0.25
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

  maySample (nowMs: number): boolean {
    return this.#sinceMs === undefined && this.#sample === undefined && nowMs - this.#sampledMs >= SAMPLE_INTERVAL_MS
  }

  /** Starts a sample of runners; returns those to be probed. @param recent the runners used of late, in random order */
  sample (recent: readonly TrackedRunner[], nowMs: number): TrackedRunner[] {
    // Paths that broke in the last cut return one by one: they say nothing of a new one.
    const members = recent.filter(({ brokenSinceMs }) => brokenSinceMs === undefined || brokenSinceMs > this.#endedMs).slice(0, SAMPLE_SIZE)
    this.#sample = { startedMs: nowMs, members }
    this.#sampledMs = nowMs
    return members.filter(({ isBroken }) => !isBroken)
  }

  /** Whether the host is found to be cut off now. */
  begins (brokenCount: number, nowMs: number): boolean {
    const sample = this.#sample
    if (sample === undefined) return false
    const { startedMs, members } = sample
    const broken = members.filter(({ isBroken }) => isBroken).length
    const reached = members.filter(({ isBroken, acceptedMs }) => !isBroken && acceptedMs >= startedMs).length
    const unconfirmed = members.filter(({ isBroken, unconfirmedMs, acceptedMs }) => !isBroken && unconfirmedMs >= startedMs - UNCONFIRMED_TTL_MS && acceptedMs < startedMs).length
    const isComplete = broken + reached + unconfirmed === members.length
    if (isComplete || nowMs - startedMs >= SAMPLE_MS) this.#sample = undefined
    const judged = isComplete ? broken + reached : members.length - unconfirmed
    if (brokenCount < MIN_BROKEN || broken === 0 || broken < judged * MIN_BROKEN_SHARE) return false
    this.#begin(startedMs, nowMs)
    return true
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
    this.#sinceMs = startedMs
    this.#lastProbes = []
  }
}
