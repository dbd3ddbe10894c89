/**
 * Requests that were at a runner when its process ended, and the features by which such requests are recognized: the parts of
 * their prompts that other requests may share, and the key of their whole content (`request-key`).
 */
import type { LocatedRunner } from '../gates/types.js'
import type { ListVersion } from '../members/change-list.js'

/** A request of this host at a runner. */
export type SentRequest = {
  requestId: string
  /** Ids of the parts of its prompt that other requests may share, in order, and the key of its content at the end. */
  featureIds: readonly string[]
  /** 1 for the first runner that the request was sent to. */
  attempt: number
  /** The runner has sent a part of the answer. */
  begun: boolean
}

/** The end of a runner's process, as this host observed it. */
export type ProcessEnd = {
  runner: LocatedRunner
  /** When the first connection broke, in milliseconds of a clock that also counts suspensions. */
  endedMs: number
  /** Requests of this host that were at the process. */
  requests: readonly SentRequest[]
  /** What confirmed it, for logs. */
  confirmedBy: string
}

/** What became of a connection without a request. */
export const ProbeResult = {
  Accepted: 'accepted',
  /** The address answered that nothing listens there. */
  Refused: 'refused',
  /** Nothing answered in time, or there is no way to the address. */
  Silent: 'silent'
} as const
export type ProbeResult = (typeof ProbeResult)[keyof typeof ProbeResult]

/** Finds out whether a process listens on an address, as seen from this host. */
export abstract class ListenerProbe {
  abstract probe (address: string, timeoutMs: number): Promise<ProbeResult>
}

/** What a host says about a runner's address. `Refused` and `Silent` only if it reaches other runners, so that its own links work. */
export const RunnerCheck = { ...ProbeResult, /** The host can't tell. */ Unknown: 'unknown' } as const
export type RunnerCheck = (typeof RunnerCheck)[keyof typeof RunnerCheck]

/** Whether a runner that refuses this host's connections has ended. */
export const EndVerdict = {
  Ended: 'ended',
  /** Another host reaches it: only the path from this host is broken. */
  Alive: 'alive',
  Unconfirmed: 'unconfirmed'
} as const
export type EndVerdict = (typeof EndVerdict)[keyof typeof EndVerdict]

/** A verdict, and what it is based on, for logs. */
export type WitnessReport = { verdict: EndVerdict, basis: string }

/** Tells a runner that ended from a broken path: what one host sees of a runner may be a fact about that host's links. */
export abstract class RunnerWitness {
  /** @param runner a runner that broke this host's connections and refuses new ones */
  abstract confirmEnd (runner: LocatedRunner): Promise<WitnessReport>
}

/** How a request left its runner. */
export const Departure = {
  /** With a whole answer, whatever its status. */
  Answered: 'answered',
  /** The connection broke before the answer was complete. */
  Broken: 'broken',
  /** The runner didn't run it, or it was taken back. */
  Other: 'other'
} as const
export type Departure = (typeof Departure)[keyof typeof Departure]

/** The end of a process with the requests that were at it. */
export type EndRecord = {
  /** Key of the process. */
  process: string
  endedMs: number
  /** Features of each request that had not begun: shared parts of its prompt, in order, and the key of its content. */
  requests: readonly (readonly string[])[]
  /** Keys of the requests whose answers had begun and were not complete. */
  running: readonly string[]
  /** Known only from records of hosts' earlier processes, whose knowledge of answers is lost. */
  inherited: boolean
}

/** When a request with this part was answered at least in part, or one with this key as a whole, the last time. */
export type BegunRecord = { featureId: string, begunMs: number }

/** The decision on whether requests with a feature are run. The record with the highest revision is in force. */
export type FeatureBlock = {
  featureId: string
  revision: number
  blocked: boolean
  /** When this revision was made. */
  sinceMs: number
  /** Number of requests that were run in spite of the block, to find out whether it still holds. */
  trials: number
  /** Why it was made, for logs and operators. */
  reason: string
}

/** The records above as hosts exchange them, with ages in place of times. */
export type EndReport = Omit<EndRecord, 'endedMs'> & { endedAgoMs: number }
export type BegunReport = { featureId: string, begunAgoMs: number }
export type BlockReport = Omit<FeatureBlock, 'sinceMs'> & { sinceAgoMs: number }

/** What a host knows about ends and blocks beyond the version that the receiver has. */
export type CrashUpdate = {
  to: ListVersion
  ends: EndReport[]
  begun: BegunReport[]
  blocks: BlockReport[]
}

/** A block as it is stored on the platform. */
export type StoredBlock = Omit<FeatureBlock, 'sinceMs'> & { sinceAt: Date }

/** Ends that one host observed, as they are stored on the platform. */
export type StoredEnd = Omit<EndRecord, 'endedMs' | 'inherited'> & { endedAt: Date }
export type StoredEnds = { host: string, ends: StoredEnd[] }

export type CrashLogEvents = {
  onBlock: (block: StoredBlock) => void
  onEnds: (stored: StoredEnds) => void
  /** Whether other hosts read the records for this one. */
  maySkipReads: () => boolean
  /** Whether other hosts would report new records if this host's read missed them. */
  mayWaitLong: () => boolean
}

/** Records on the platform, for hosts that start and for hosts that don't reach each other. */
export abstract class CrashLog {
  abstract start (events: CrashLogEvents): void
  /** Rejects if the outcome is unknown. */
  abstract writeBlock (block: StoredBlock): Promise<void>
  /** Replaces what the host has stored. */
  abstract writeEnds (stored: StoredEnds): Promise<void>
  abstract stop (): void
}
