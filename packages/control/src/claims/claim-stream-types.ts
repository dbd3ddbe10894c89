/** Options, states and messages of a claim stream's task. */
import type { Clock, Logger } from '@figloom/runtime'
import type { LogClient } from '@figloom/clients'
import type { StreamEvent } from '../streams/stream-follower.js'
import type { ClaimLimits } from './limits.js'
import type { ClaimStartPoint } from './start-point.js'
import type { AttemptEnd, ClaimAnswer, ClaimRequest, IsLive } from './types.js'

export type ClaimStreamOptions = {
  log: LogClient
  clock: Clock
  logger: Logger
  index: number
  host: string
  incarnation: string
  /** Number of this task within the process, which keeps its record ids unique. */
  instance: number
  isLive: IsLive
  /** Hosts that take turns at writing snapshots. */
  gateways: () => string[]
  limits: ClaimLimits
}

/** Whether this host has read all of the stream that it needs to answer claims. */
export const ClaimStreamStatus = {
  Starting: 'starting',
  /** No record is missing since the first one or since a snapshot. */
  Complete: 'whole',
  /** The log dropped older records and no snapshot covers them. */
  Incomplete: 'broken',
  Unreachable: 'unreachable',
  /** A record needs a newer rule version than this release has. */
  UnknownRule: 'unknown-rule'
} as const
export type ClaimStreamStatus = (typeof ClaimStreamStatus)[keyof typeof ClaimStreamStatus]

/** Messages to the task of a stream. */
export type ClaimStreamMessage =
  | { kind: 'claim', request: ClaimRequest, answer: (answer: ClaimAnswer) => void }
  | { kind: 'end', end: AttemptEnd }
  | { kind: 'event', event: StreamEvent }
  | { kind: 'started', start: ClaimStartPoint }
  | { kind: 'expired', attemptId: string }
  | { kind: 'append-failed' | 'grace-over' | 'tick' | 'snapshot' }
