/** Paths from this host to runners: directly, or by way of another host while this one is cut off from a runner. */
import type { LocatedRunner } from '../gates/types.js'

export const PathKind = { Direct: 'direct', ViaHost: 'via-host' } as const
export type PathKind = (typeof PathKind)[keyof typeof PathKind]

/** How the next request reaches a runner; `host` and `peerAddress` name the host that passes it on. */
export type RunnerPath =
  { kind: typeof PathKind.Direct } |
  { kind: typeof PathKind.ViaHost, host: string, peerAddress: string }

/** Called when the direct path to a runner is found to be broken while a request is on it. */
export type PathListener = () => void

/** Chooses paths by what this host and the other hosts see of the runners. */
export abstract class RunnerPaths {
  abstract pathTo (runner: LocatedRunner): RunnerPath
  /** Whether this host itself reaches the runner, as far as it knows. */
  abstract reaches (runner: LocatedRunner): boolean
  /** A request is written to a runner on a connection of this host. Returns a function to call when it has left the runner. */
  abstract onSent (runner: LocatedRunner, listener: PathListener): () => void
  /** A runner accepted a connection of this host, or bytes of it arrived on one. */
  abstract onReached (runner: LocatedRunner): void
  /** A runner accepted no connection of this host. */
  abstract onConnectFailed (runner: LocatedRunner, reason: string): void
  /** A host that was to pass a request on could not be reached or is cut off itself. */
  abstract onHostFailed (host: string): void
  /** This host reaches none or few of the runners, though other hosts reach them. */
  abstract get isCutOff (): boolean

  /** Number of runners that are reached through other hosts. */
  get brokenCount (): number {
    return 0
  }

  start (): void {}

  stop (): void {}

  /** Forgets the runners whose addresses are no longer listed. */
  retain (_addresses: ReadonlySet<string>): void {}
}
