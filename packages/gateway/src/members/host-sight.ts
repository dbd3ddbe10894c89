/** What a host makes of the others' reports: who holds the lease, what it is told of, how far its sight reaches. */
import type { Clock } from '@figloom/runtime'
import type { ContactPace } from './contact-pace.js'
import type { Member, MemberTable } from './member-table.js'
import { ALL_RELAYS_UP_TO } from './relay-plan.js'
import type { ExpectedLoad, HostReport } from './types.js'

/** A relay's read of the configuration is recent for this long: a read that waits, and the exchange that tells of it. */
const CONFIG_READ_LATELY_MS = 2_000

type DirectMember = Member & Required<Pick<Member, 'direct'>>

export class HostSight {
  private constructor (
    private readonly clock: Clock, private readonly members: MemberTable, private readonly pace: ContactPace
  ) {}

  static create (clock: Clock, members: MemberTable, pace: ContactPace): HostSight {
    return new HostSight(clock, members, pace)
  }

  /** The hosts are so few that each is in direct contact with all others. */
  get meetsAll (): boolean {
    return this.members.live(this.#nowMs()).length < ALL_RELAYS_UP_TO
  }

  /** Time until all others know what this host told at once. */
  get spreadMs (): number {
    return this.meetsAll ? this.pace.directSpreadMs : this.pace.relayedSpreadMs
  }

  /** Whether a relay in contact reads the configuration often and would tell of a newer one. */
  hearsOfConfig (): boolean {
    const nowMs = this.#nowMs()
    return this.#directMembers().some(({ summary, direct }) => {
      const { configReadAgoMs } = direct.report
      return summary.relay && configReadAgoMs !== undefined && configReadAgoMs + nowMs - direct.heardMs < CONFIG_READ_LATELY_MS
    })
  }

  /** Peer address of a host that says it holds the lease on orders, by its own word or that of a relay. */
  holderAddress (): string | undefined {
    return this.members.live(this.#nowMs()).find(({ summary }) => summary.holdsLease)?.summary.address.peerAddress
  }

  /** A host that says it holds the lease on orders was heard of late, from its own mouth. */
  get hearsHolder (): boolean {
    return this.#holderReport() !== undefined
  }

  /** Loads under way by the word of the holder of the lease, or of the relay that passed it on last. */
  expectedLoads (): ExpectedLoad[] {
    const holder = this.#holderReport()
    if (holder !== undefined) return holder.expectedLoads
    const relayed = this.#directMembers().filter(({ direct }) => direct.report.speaksForAll)
    return latestOf(relayed)?.direct.report.expectedLoads ?? []
  }

  /** Time since the last order under a token, by the own word of a host that gave that lease up. */
  lastOrderUnder (fencingToken: number): number | undefined {
    const member = this.#directMembers().find(({ direct }) => direct.report.lease.fencingToken === fencingToken)
    if (member === undefined) return undefined
    const { report, heardMs } = member.direct
    const { heldBySender, lastOrderAgoMs } = report.lease
    return heldBySender || lastOrderAgoMs === undefined ? undefined : lastOrderAgoMs + this.#nowMs() - heardMs
  }

  #holderReport (): HostReport | undefined {
    const holder = this.#directMembers().find(({ direct }) => direct.report.lease.heldBySender)
    return holder !== undefined && this.#nowMs() - holder.direct.heardMs < this.pace.holderSilentMs ? holder.direct.report : undefined
  }

  #directMembers (): DirectMember[] {
    return this.members.live(this.#nowMs()).filter((member): member is DirectMember => member.direct !== undefined)
  }

  #nowMs (): number {
    return this.clock.monotonicMs()
  }
}

function latestOf (members: readonly DirectMember[]): DirectMember | undefined {
  return members.reduce<DirectMember | undefined>((best, member) => {
    return best === undefined || best.direct.heardMs < member.direct.heardMs ? member : best
  }, undefined)
}
