/**
 * Pauses that runners ask this host for when they refuse a request. Load pattern: a runner in need, and a crowd that waits for
 * the end of its pause. Nothing is sent until then, and one request tries the runner before the rest follow. Pure state; times
 * are milliseconds of the steady clock, which stands still while the host does, so that no pause is cut short.
 */
import { ProcessMap } from './process-map.js'
import type { LocatedRunner } from './types.js'

/** The longest pause that a runner is taken at its word for. */
export const MAX_PAUSE_MS = 3_600_000
/** How long the rest waits for what comes of the request that tries. */
const PROBE_MS = 500
/** A pause that nobody tried to end is forgotten after this time. */
const KEPT_MS = 60_000

/** The request that tries a runner, and since when. */
type Probe = { requestId: string, sinceMs: number }
type Pause = { untilMs: number, probe?: Probe }

export class RunnerPauses {
  readonly #pauses = ProcessMap.create<Pause>()

  private constructor () {}

  static create (): RunnerPauses {
    return new RunnerPauses()
  }

  /** The runner asks for a pause; a shorter one doesn't end a longer one. */
  onPause (runner: LocatedRunner, pauseMs: number, nowMs: number): void {
    const before = this.#pauses.get(runner)?.untilMs ?? -Infinity
    this.#pauses.set(runner, { untilMs: Math.max(before, nowMs + Math.min(pauseMs, MAX_PAUSE_MS)) })
  }

  /** Time until a request may go to the runner; 0 where one may now. */
  opensInMs (runner: LocatedRunner, nowMs: number): number {
    const pause = this.#pauses.get(runner)
    return pause === undefined ? 0 : closedForMs(pause, nowMs)
  }

  /** The request is sent next, as soon as it has a connection: the first one behind a pause tries the runner. */
  onChosen (runner: LocatedRunner, requestId: string, nowMs: number): void {
    const pause = this.#pauses.get(runner)
    if (pause === undefined || closedForMs(pause, nowMs) > 0) return
    if (pause.probe === undefined) pause.probe = { requestId, sinceMs: nowMs }
    else this.#pauses.delete(runner)
  }

  /** Whether a request that has its connection now may be written. */
  mayWrite (runner: LocatedRunner, requestId: string, nowMs: number): boolean {
    const pause = this.#pauses.get(runner)
    if (pause === undefined) return true
    if (pause.untilMs > nowMs) return false
    return pause.probe?.requestId === requestId || closedForMs(pause, nowMs) === 0
  }

  /** The runner answered a request and asked for no pause. */
  onTaken (runner: LocatedRunner, requestId: string): void {
    if (this.#pauses.get(runner)?.probe?.requestId === requestId) this.#pauses.delete(runner)
  }

  /** A request ended without an answer: another one may try. */
  onEnded (runner: LocatedRunner, requestId: string): void {
    const pause = this.#pauses.get(runner)
    if (pause?.probe?.requestId === requestId) pause.probe = undefined
  }

  sweep (nowMs: number): void {
    for (const { process, value } of this.#pauses.entries()) {
      if (nowMs - value.untilMs >= KEPT_MS) this.#pauses.delete(process)
    }
  }
}

function closedForMs ({ untilMs, probe }: Pause, nowMs: number): number {
  const probeMs = probe === undefined ? 0 : probe.sinceMs + PROBE_MS - nowMs
  return Math.max(0, untilMs - nowMs, probeMs)
}
