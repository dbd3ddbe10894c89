/**
 * Pauses that runners ask this host for when they refuse a request. Load pattern: an overloaded runner, and many requests that
 * wait for the end of its pause. Nothing is sent until then, and a single request probes the runner before the others follow.
 * Pure state; times are milliseconds of the monotonic clock, which doesn't advance while the host is suspended, so that a
 * suspension doesn't shorten a pause.
 */
import { ProcessMap } from './process-map.js'
import type { LocatedRunner } from './types.js'

/** Upper bound for a pause; a runner that asks for a longer one gets this one. */
export const MAX_PAUSE_MS = 3_600_000
/** How long the other requests wait for the result of a probe. */
const PROBE_TIMEOUT_MS = 500
/** A pause that ended this long ago is dropped, even if no request has probed the runner. */
const RETENTION_MS = 60_000

/** The request that probes a runner, and when it was chosen. */
type Probe = { requestId: string, startedMs: number }
type Pause = { untilMs: number, probe?: Probe }

export class RunnerPauses {
  readonly #pauses = ProcessMap.create<Pause>()

  private constructor () {}

  static create (): RunnerPauses {
    return new RunnerPauses()
  }

  /** The runner asks for a pause; a shorter one doesn't shorten a longer one. */
  onPause (runner: LocatedRunner, pauseMs: number, nowMs: number): void {
    const previousUntilMs = this.#pauses.get(runner)?.untilMs ?? -Infinity
    this.#pauses.set(runner, { untilMs: Math.max(previousUntilMs, nowMs + Math.min(pauseMs, MAX_PAUSE_MS)) })
  }

  /** Time until a request may be sent to the runner; 0 if one may be sent now. */
  opensInMs (runner: LocatedRunner, nowMs: number): number {
    const pause = this.#pauses.get(runner)
    return pause === undefined ? 0 : closedForMs(pause, nowMs)
  }

  /** The runner was chosen for a request: the first one after a pause becomes the probe. */
  onChosen (runner: LocatedRunner, requestId: string, nowMs: number): void {
    const pause = this.#pauses.get(runner)
    if (pause === undefined || closedForMs(pause, nowMs) > 0) return
    if (pause.probe === undefined) pause.probe = { requestId, startedMs: nowMs }
    else this.#pauses.delete(runner)
  }

  /** Whether a request that now has a connection may be written. */
  mayWrite (runner: LocatedRunner, requestId: string, nowMs: number): boolean {
    const pause = this.#pauses.get(runner)
    if (pause === undefined) return true
    if (pause.untilMs > nowMs) return false
    return pause.probe?.requestId === requestId || closedForMs(pause, nowMs) === 0
  }

  /** The runner answered a request and asked for no pause. */
  onAccepted (runner: LocatedRunner, requestId: string): void {
    if (this.#pauses.get(runner)?.probe?.requestId === requestId) this.#pauses.delete(runner)
  }

  /** A request ended without an answer: another one may become the probe. */
  onEnded (runner: LocatedRunner, requestId: string): void {
    const pause = this.#pauses.get(runner)
    if (pause?.probe?.requestId === requestId) pause.probe = undefined
  }

  sweep (nowMs: number): void {
    for (const { process, value } of this.#pauses.entries()) {
      if (nowMs - value.untilMs >= RETENTION_MS) this.#pauses.delete(process)
    }
  }
}

function closedForMs ({ untilMs, probe }: Pause, nowMs: number): number {
  const probeMs = probe === undefined ? 0 : probe.startedMs + PROBE_TIMEOUT_MS - nowMs
  return Math.max(0, untilMs - nowMs, probeMs)
}
