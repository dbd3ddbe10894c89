/** When a runner is closed to this host, and by what. */
import type { AnswerPause } from '../forward/types.js'
import type { RunnerProcess } from '../limits/types.js'

/** One start of a runner and where it is reached: IP:PORT. */
export type LocatedRunner = RunnerProcess & { address: string }

/** What closes a runner. */
export const ClosedBy = {
  /** It said that it leaves: this process of it takes nothing more. */
  Leaving: 'leaving',
  /** It refused a request and asked this host for a pause. */
  Pause: 'pause',
  /** It names a limit that is used up. */
  Limit: 'limit'
} as const
export type ClosedBy = (typeof ClosedBy)[keyof typeof ClosedBy]

export const GateState = { Open: 'open', NeedsPermit: 'needs-permit', Closed: 'closed' } as const

/** Whether a request may go to a runner now. */
export type RunnerGate =
  { state: typeof GateState.Open } |
  { state: typeof GateState.NeedsPermit } |
  /** It is not worth while to ask again until `opensInMs` have passed; infinite where the runner doesn't open again. */
  { state: typeof GateState.Closed, by: ClosedBy, opensInMs: number }

/** What any answer of a runner may say about itself. */
export type RunnerWords = {
  /** The runner is leaving. */
  leaving: boolean
  pause: AnswerPause
}

/** That a runner leaves, as one of its answers told one host. */
export type LeavingReport = {
  runnerId: string
  address: string
  startedUnixMs?: number
  /** Host that got the answer. */
  origin: string
  heardAgoMs: number
}
