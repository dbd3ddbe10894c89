/**
 * Finds runners that may no longer be reached though requests were written to them: nothing arrives on their connections. Runners may
 * also be silent because requests wait in their queues, so these runners are probed before anything is concluded.
 */
import type { TrackedRunner } from './tracked-runner.js'

/** No byte of any runner for this long while requests wait is unusual enough for a probe. */
const HOST_SILENT_MS = 300
/** Runners with waiting requests that a silent host has at least, and that are probed at most. */
const MIN_SILENT_RUNNERS = 2
const MAX_PROBED_RUNNERS = 3
/** Interval between probes of a silent host whose runners accept them. */
const HOST_INTERVAL_MS = 1_000
/** A single runner that is silent for this long is probed, while others send. */
const RUNNER_SILENT_MS = 1_000
/** Interval between probes of single runners of a host. */
const RUNNER_INTERVAL_MS = 2_000
/** A check that runs later than planned by this much shows that the process was stalled: bytes may not have been read. */
const MAX_LATE_MS = 200

export class SilenceWatch {
  #lastByteMs = -Infinity
  #checkedMs: number
  #hostProbedMs = -Infinity
  #runnerProbedMs = -Infinity

  private constructor (private readonly intervalMs: number, private readonly random: () => number, startedMs: number) {
    this.#checkedMs = startedMs
  }

  /** @param intervalMs planned time between two checks */
  static create (intervalMs: number, random: () => number, startedMs: number): SilenceWatch {
    return new SilenceWatch(intervalMs, random, startedMs)
  }

  /** Bytes of a runner arrived. */
  onByte (nowMs: number): void {
    this.#lastByteMs = nowMs
  }

  /** Whether bytes of any runner arrived after this time. */
  hasByteSince (sinceMs: number): boolean {
    return this.#lastByteMs > sinceMs
  }

  /**
   * The runners to probe now.
   * @param waiting runners whose direct paths count as sound and that requests wait for
   * @param hasBroken whether paths to other runners are broken: then each silent runner is suspicious
   */
  check (waiting: readonly TrackedRunner[], hasBroken: boolean, nowMs: number): TrackedRunner[] {
    const wasStalled = nowMs - this.#checkedMs > this.intervalMs + MAX_LATE_MS
    this.#checkedMs = nowMs
    if (wasStalled) this.#lastByteMs = nowMs
    if (wasStalled || waiting.length === 0) return []
    const silent = waiting.filter((tracked) => tracked.silentMs(nowMs) >= HOST_SILENT_MS && nowMs - tracked.acceptedMs >= HOST_SILENT_MS)
    if (hasBroken) return silent.filter(({ acceptedMs }) => nowMs - acceptedMs >= HOST_INTERVAL_MS)
    const isHostSilent = nowMs - this.#lastByteMs >= HOST_SILENT_MS && silent.length >= MIN_SILENT_RUNNERS
    if (isHostSilent && nowMs - this.#hostProbedMs >= HOST_INTERVAL_MS) return this.#chooseMany(silent, nowMs)
    return this.#chooseOne(silent, nowMs)
  }

  #chooseMany (silent: readonly TrackedRunner[], nowMs: number): TrackedRunner[] {
    this.#hostProbedMs = nowMs
    return shuffle(silent, this.random).slice(0, MAX_PROBED_RUNNERS)
  }

  /** The runner that has been silent for the longest time without a probe. */
  #chooseOne (silent: readonly TrackedRunner[], nowMs: number): TrackedRunner[] {
    if (nowMs - this.#runnerProbedMs < RUNNER_INTERVAL_MS) return []
    const quietMs = (tracked: TrackedRunner) => Math.min(tracked.silentMs(nowMs), nowMs - tracked.acceptedMs)
    const due = silent.filter((tracked) => quietMs(tracked) >= RUNNER_SILENT_MS).sort((a, b) => quietMs(b) - quietMs(a))
    if (due.length > 0) this.#runnerProbedMs = nowMs
    return due.slice(0, 1)
  }
}

export function shuffle<Item> (items: readonly Item[], random: () => number): Item[] {
  const shuffled = [...items]
  for (let index = shuffled.length - 1; index > 0; index -= 1) {
    const other = Math.floor(random() * (index + 1))
    const item = shuffled[index] as Item
    shuffled[index] = shuffled[other] as Item
    shuffled[other] = item
  }
  return shuffled
}
