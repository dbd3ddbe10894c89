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
}

/** Finds out whether a process still listens on an address. */
export abstract class ListenerProbe {
  /** Resolves true if the address refuses connections, false if it accepts one or doesn't answer. */
  abstract isRefused (address: string): Promise<boolean>
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
