/** What a host concludes from other hosts' reports: who holds the lease, which loads are in progress, how fast updates propagate. */
import type { Clock } from '@figloom/runtime'
import type { ContactTiming } from './contact-timing.js'
import type { Member, MemberTable } from './member-table.js'
import { MAX_FULL_MESH_HOSTS } from './relay-plan.js'
import type { ExpectedLoad, HostReport } from './types.js'

/** Maximum age of a relay's last configuration read: covers one long-polling read and the exchange that reports it. */
const RECENT_CONFIG_READ_MS = 2_000

type DirectMember = Member & Required<Pick<Member, 'direct'>>

export class HostObservation {
  private constructor (
    private readonly clock: Clock, private readonly members: MemberTable, private readonly timing: ContactTiming
  ) {}

  static create (clock: Clock, members: MemberTable, timing: ContactTiming): HostObservation {
    return new HostObservation(clock, members, timing)
  }

  /** Whether there are so few hosts that each is in direct contact with all others. */
  get isFullMesh (): boolean {
    return this.members.live(this.#nowMs()).length < MAX_FULL_MESH_HOSTS
  }

  /** Time until an update that this host reports immediately has reached all other hosts. */
  get propagationMs (): number {
    return this.isFullMesh ? this.timing.directPropagationMs : this.timing.relayedPropagationMs
  }

  /** Whether a relay in direct contact reads the configuration regularly, so that its reports would show a newer version. */
  receivesConfigFromPeers (): boolean {
    const nowMs = this.#nowMs()
    return this.#directMembers().some(({ summary, direct }) => {
      const { configReadAgoMs } = direct.report
      return summary.relay && configReadAgoMs !== undefined && configReadAgoMs + nowMs - direct.receivedMs < RECENT_CONFIG_READ_MS
    })
  }

  /** Peer address of a host that holds the lease on orders according to its own report or a relay's. */
  holderAddress (): string | undefined {
    return this.members.live(this.#nowMs()).find(({ summary }) => summary.holdsLease)?.summary.address.peerAddress
  }

  /** Whether the lease holder itself sent a report within the last `holderTimeoutMs`. */
  get hasRecentHolderReport (): boolean {
    return this.#holderReport() !== undefined
  }

  /** Loads in progress as the lease holder reports them, otherwise as the relay with the latest report forwards them. */
  expectedLoads (): ExpectedLoad[] {
    const holder = this.#holderReport()
    if (holder !== undefined) return holder.expectedLoads
    const relayed = this.#directMembers().filter(({ direct }) => direct.report.speaksForAll)
    return latestOf(relayed)?.direct.report.expectedLoads ?? []
  }

  /** Milliseconds since the last order under a token, as reported by the host that held that lease and gave it up. */
  lastOrderAgoMs (fencingToken: number): number | undefined {
    const member = this.#directMembers().find(({ direct }) => direct.report.lease.fencingToken === fencingToken)
    if (member === undefined) return undefined
    const { report, receivedMs } = member.direct
    const { heldBySender, lastOrderAgoMs } = report.lease
    return heldBySender || lastOrderAgoMs === undefined ? undefined : lastOrderAgoMs + this.#nowMs() - receivedMs
  }

  #holderReport (): HostReport | undefined {
    const holder = this.#directMembers().find(({ direct }) => direct.report.lease.heldBySender)
    return holder !== undefined && this.#nowMs() - holder.direct.receivedMs < this.timing.holderTimeoutMs ? holder.direct.report : undefined
  }

  #directMembers (): DirectMember[] {
    return this.members.live(this.#nowMs()).filter((member): member is DirectMember => member.direct !== undefined)
  }

  #nowMs (): number {
    return this.clock.monotonicMs()
  }
}

function latestOf (members: readonly DirectMember[]): DirectMember | undefined {
  return members.reduce<DirectMember | undefined>((latest, member) => {
    return latest === undefined || latest.direct.receivedMs < member.direct.receivedMs ? member : latest
  }, undefined)
}
