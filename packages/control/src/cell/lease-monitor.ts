/** Observations of a cell's lease, timed on this host's monotonic clock. */
import type { Clock } from '@figloom/runtime'
import { isHolderByOwnClock, decideLease, LeaseAction, rankCandidates, type LeaseInput, type LeaseSettings } from './lease.js'
import type { Sender } from './records.js'
import type { Claim } from './state.js'

export type LeaseMonitorOptions = { clock: Clock, cell: string, self: Sender, settings: LeaseSettings }

/** Tracks when the holder's records were read, when this host's own were sent, and whether the log answers. */
export class LeaseMonitor {
  #holderRecordMs = 0
  #ownRecordSentMs = -Infinity
  #logReadableSinceMs: number | undefined
  #logFailingSinceMs: number | undefined
  #expiryNoticedMs: number | undefined
  #hosts: string[] = []
  readonly #suspectedMs = new Map<string, number>()

  private constructor (private readonly options: LeaseMonitorOptions) {
    this.#logFailingSinceMs = options.clock.monotonicMs()
  }

  static create (options: LeaseMonitorOptions): LeaseMonitor {
    return new LeaseMonitor(options)
  }

  noteHolderRecord (): void {
    this.#holderRecordMs = this.options.clock.monotonicMs()
  }

  /** Notes when this host, as the holder, first tried to append a record that it has now read back. */
  noteOwnRecord (firstSentMs: number): void {
    this.#ownRecordSentMs = Math.max(this.#ownRecordSentMs, firstSentMs)
  }

  noteLogRead (succeeded: boolean): void {
    const nowMs = this.options.clock.monotonicMs()
    this.#logReadableSinceMs = succeeded ? this.#logReadableSinceMs ?? nowMs : undefined
    this.#logFailingSinceMs = succeeded ? undefined : this.#logFailingSinceMs ?? nowMs
  }

  setHosts (hosts: string[]): void {
    this.#hosts = hosts
  }

  setSuspected (host: string, suspected: boolean): void {
    if (!suspected) this.#suspectedMs.delete(host)
    else if (!this.#suspectedMs.has(host)) this.#suspectedMs.set(host, this.options.clock.monotonicMs())
  }

  get isLogReachable (): boolean {
    return this.#logReadableSinceMs !== undefined
  }

  /** How long reads of the log have failed, in milliseconds; 0 while they succeed. */
  get logOutageMs (): number {
    return this.#logFailingSinceMs === undefined ? 0 : this.options.clock.monotonicMs() - this.#logFailingSinceMs
  }

  isHolder (claim: Claim | undefined): boolean {
    return isHolderByOwnClock(this.#input(claim), this.options.settings)
  }

  decide (claim: Claim | undefined): LeaseAction {
    const hasExpired = claim?.sender.incarnation === this.options.self.incarnation && !this.isHolder(claim)
    this.#expiryNoticedMs = hasExpired ? this.#expiryNoticedMs ?? this.options.clock.monotonicMs() : undefined
    return decideLease(this.#input(claim), this.options.settings)
  }

  #input (claim: Claim | undefined): LeaseInput {
    const { clock, self } = this.options
    return {
      nowMs: clock.monotonicMs(),
      self,
      claim,
      holderRecordMs: this.#holderRecordMs,
      ownRecordSentMs: this.#ownRecordSentMs,
      logReadableSinceMs: this.#logReadableSinceMs,
      suspectedSinceMs: claim === undefined ? undefined : this.#suspectedMs.get(claim.sender.host),
      expiryNoticedMs: this.#expiryNoticedMs,
      rank: this.#rankSucceeding(claim)
    }
  }

  /** Rank among the candidates, with the host of the claim in force last so that another host succeeds it. */
  #rankSucceeding (claim: Claim | undefined): number {
    const { cell, self } = this.options
    const live = this.#hosts.filter((host) => host === self.host || !this.#suspectedMs.has(host))
    const ranked = rankCandidates(cell, [...live, self.host])
    const others = ranked.filter((host) => host !== claim?.sender.host)
    return [...others, ...ranked.filter((host) => host === claim?.sender.host)].indexOf(self.host)
  }
}
