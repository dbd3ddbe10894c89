/** Paths to runners as a test sets them. */
import type { LocatedRunner } from '../gates/types.js'
import { PathKind, RunnerPaths, type PathListener, type RunnerPath } from '../paths/types.js'

export class FixedPaths extends RunnerPaths {
  /** Peer addresses of the hosts that pass requests on, the next one first; with none all runners are reached directly. */
  readonly hosts: string[] = []
  readonly reached: string[] = []
  readonly connectFailed: string[] = []
  readonly hostFailed: string[] = []
  readonly #listeners = new Set<PathListener>()
  cutOff = false
  /** A host that failed isn't used again. */
  dropsFailedHosts = true
  /** Called when a runner accepted no connection. */
  onFailure: () => void = () => {}

  static create (): FixedPaths {
    return new FixedPaths()
  }

  override pathTo (): RunnerPath {
    const [host] = this.hosts
    return host === undefined ? { kind: PathKind.Direct } : { kind: PathKind.ViaHost, host, peerAddress: host }
  }

  override reaches (): boolean {
    return !this.cutOff && this.hosts.length === 0
  }

  override onSent (_: LocatedRunner, listener: PathListener): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  override onReached ({ id }: LocatedRunner): void {
    this.reached.push(id)
  }

  override onConnectFailed ({ id }: LocatedRunner): void {
    this.connectFailed.push(id)
    this.onFailure()
  }

  override onHostFailed (host: string): void {
    this.hostFailed.push(host)
    if (this.dropsFailedHosts && this.hosts[0] === host) this.hosts.shift()
  }

  override get isCutOff (): boolean {
    return this.cutOff
  }

  /** Requests that were written directly and are still at their runners. */
  get openCount (): number {
    return this.#listeners.size
  }

  /** The direct paths are found to be broken. */
  breakPaths (): void {
    for (const listener of [...this.#listeners]) listener()
  }
}
