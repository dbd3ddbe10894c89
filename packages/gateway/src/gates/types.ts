/** Whether a runner is closed to requests of this host, and by which signal. */
import type { AnswerPause } from '../forward/types.js'
import type { RunnerProcess } from '../limits/types.js'

/** One process of a runner, and its address as IP:PORT. */
export type LocatedRunner = RunnerProcess & { address: string }

/** What closes a runner. */
export const ClosedBy = {
  /** It announced that it leaves: this process accepts no more requests. */
  Leaving: 'leaving',
  /** It refused a request and asked this host for a pause. */
  Pause: 'pause',
  /** Its limit is used up. */
  Limit: 'limit'
} as const
export type ClosedBy = (typeof ClosedBy)[keyof typeof ClosedBy]

export const GateState = { Open: 'open', NeedsPermit: 'needs-permit', Closed: 'closed' } as const

/** Whether a request may be sent to a runner now. */
export type RunnerGate =
  { state: typeof GateState.Open } |
  { state: typeof GateState.NeedsPermit } |
  /** Check again after `opensInMs`, which is infinite for a runner that doesn't open again. */
  { state: typeof GateState.Closed, by: ClosedBy, opensInMs: number }

/** Signals about the runner itself that any of its answers may carry. */
export type RunnerSignals = {
  /** The runner is leaving. */
  leaving: boolean
  pause: AnswerPause
}

/** A runner's announcement that it leaves, as received by one host. */
export type LeavingReport = {
  runnerId: string
  address: string
  startedUnixMs?: number
  /** Host that received the answer. */
  origin: string
  heardAgoMs: number
}
