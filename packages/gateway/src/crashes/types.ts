/** Requests that were at a runner when its process ended, and the prompt parts by which such requests are recognized. */
import type { LocatedRunner } from '../gates/types.js'

/** A request of this host at a runner. */
export type SentRequest = {
  requestId: string
  /** Ids of the parts of its prompt that other requests may share, in order. */
  partIds: readonly string[]
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
