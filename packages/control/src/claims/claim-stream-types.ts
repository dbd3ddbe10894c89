/** Options, states and messages of the task of a claim stream. */
import type { Clock, Logger } from '@figloom/runtime'
import type { LogClient } from '@figloom/clients'
import type { StreamEvent } from '../streams/stream-follower.js'
import type { ClaimLimits } from './limits.js'
import type { ClaimStart } from './start.js'
import type { AttemptEnd, ClaimAnswer, ClaimRequest, IsLive } from './types.js'

export type ClaimStreamOptions = {
  log: LogClient
  clock: Clock
  logger: Logger
  index: number
  host: string
  incarnation: string
  /** Number of this stream task within the process, so that its record ids are its own. */
  instance: number
  isLive: IsLive
  /** Hosts that take turns in writing snapshots. */
  gateways: () => string[]
  limits: ClaimLimits
}

/** How far this host knows the stream. */
export const Trust = {
  Starting: 'starting',
  /** Read from an unbroken start. */
  Whole: 'whole',
  /** Older records are gone and no snapshot stands for them. */
  Broken: 'broken',
  Unreachable: 'unreachable',
  /** A record needs a newer release. */
  UnknownRule: 'unknown-rule'
} as const
export type Trust = (typeof Trust)[keyof typeof Trust]

/** Messages of the task of a stream. */
export type ClaimStreamMessage =
  | { kind: 'claim', request: ClaimRequest, answer: (answer: ClaimAnswer) => void }
  | { kind: 'end', end: AttemptEnd }
  | { kind: 'event', event: StreamEvent }
  | { kind: 'started', start: ClaimStart }
  | { kind: 'expired', attemptId: string }
  | { kind: 'append-failed' | 'grace-over' | 'tick' | 'snapshot' }
