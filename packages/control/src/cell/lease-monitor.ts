/** What a host observed of the lease on its own monotonic clock. */
import type { Clock } from '@figloom/runtime'
import { considersSelfHolder, decideLease, LeaseAction, rankCandidates, type LeaseInput, type LeaseSettings } from './lease.js'
import type { Sender } from './records.js'
import type { Claim } from './state.js'

export type LeaseWatchOptions = { clock: Clock, cell: string, self: Sender, settings: LeaseSettings }

/** Times at which the holder was heard, this host sent, and the log answered. */
export class LeaseWatch {
  #heardMs = 0
  #sentMs = -Infinity
  #readsSinceMs: number | undefined
  #failedSinceMs: number | undefined
  #lapseNoticedMs: number | undefined
  #hosts: string[] = []
  readonly #suspectedMs = new Map<string, number>()

  private constructor (private readonly options: LeaseWatchOptions) {
    this.#failedSinceMs = options.clock.monotonicMs()
  }

  static create (options: LeaseWatchOptions): LeaseWatch {
    return new LeaseWatch(options)
  }

  hear (): void {
    this.#heardMs = this.options.clock.monotonicMs()
  }

  /** Notes the first attempt of a record of this holder that was read back. */
  readBack (firstSentMs: number): void {
    this.#sentMs = Math.max(this.#sentMs, firstSentMs)
  }

  noteRead (succeeded: boolean): void {
    const nowMs = this.options.clock.monotonicMs()
    this.#readsSinceMs = succeeded ? this.#readsSinceMs ?? nowMs : undefined
    this.#failedSinceMs = succeeded ? undefined : this.#failedSinceMs ?? nowMs
  }

  setHosts (hosts: string[]): void {
    this.#hosts = hosts
  }

  suspect (host: string, suspected: boolean): void {
    if (!suspected) this.#suspectedMs.delete(host)
    else if (!this.#suspectedMs.has(host)) this.#suspectedMs.set(host, this.options.clock.monotonicMs())
  }

  get isLogReachable (): boolean {
    return this.#readsSinceMs !== undefined
  }

  /** How long reads of the log have failed, in milliseconds; 0 while they succeed. */
  get logFailedMs (): number {
    return this.#failedSinceMs === undefined ? 0 : this.options.clock.monotonicMs() - this.#failedSinceMs
  }

  isHolder (claim: Claim | undefined): boolean {
    return considersSelfHolder(this.#input(claim), this.options.settings)
  }

  decide (claim: Claim | undefined): LeaseAction {
    const hasLapsed = claim?.sender.incarnation === this.options.self.incarnation && !this.isHolder(claim)
    this.#lapseNoticedMs = hasLapsed ? this.#lapseNoticedMs ?? this.options.clock.monotonicMs() : undefined
    return decideLease(this.#input(claim), this.options.settings)
  }

  #input (claim: Claim | undefined): LeaseInput {
    const { clock, self } = this.options
    return {
      nowMs: clock.monotonicMs(),
      self,
      claim,
      heardMs: this.#heardMs,
      sentMs: this.#sentMs,
      readsSinceMs: this.#readsSinceMs,
      suspectedSinceMs: claim === undefined ? undefined : this.#suspectedMs.get(claim.sender.host),
      lapseNoticedMs: this.#lapseNoticedMs,
      rank: this.#rankAfter(claim)
    }
  }

  /** The host of the claim in force comes last: the others succeed it. */
  #rankAfter (claim: Claim | undefined): number {
    const { cell, self } = this.options
    const live = this.#hosts.filter((host) => host === self.host || !this.#suspectedMs.has(host))
    const ranked = rankCandidates(cell, [...live, self.host])
    const others = ranked.filter((host) => host !== claim?.sender.host)
    return [...others, ...ranked.filter((host) => host === claim?.sender.host)].indexOf(self.host)
  }
}
