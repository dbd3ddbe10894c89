/** Exchanges reports with other hosts, as planned: at a steady pace, and at once when a change can't wait. */
import type { Clock, Logger, Timer } from '@figloom/runtime'
import type { InstantSource } from '../lease/instant.js'
import type { ContactPace } from './contact-pace.js'
import { planContacts, type ContactPlan } from './contact-plan.js'
import type { MemberTable } from './member-table.js'
import type { HostAddress, HostRegistry, HostReport, PeerCalls } from './types.js'

/** Pause between two reads of the registry while hosts are missing from it. */
const REGISTRY_MS = 5_000
const REGISTRY_RETRY_MS = 1_000
/** Looks for exchanges that are due, for each exchange. */
const TICKS_AN_EXCHANGE = 4
/** A difference of two hosts' times of day is written anew when it changes by this much. */
const CLOCK_CHANGE_MS = 100

export type ExchangerParts = {
  clock: Clock
  instants: InstantSource
  log: Logger
  pace: ContactPace
  members: MemberTable
  calls: PeerCalls
  registry: HostRegistry
  self: HostAddress
  seedPeerAddresses: readonly string[]
  holdsLease: () => boolean
  /** What to tell a host; undefined where it isn't known yet. */
  report: (peer: HostReport['sender'] | undefined) => HostReport
  /** Called with every report that wasn't overtaken, which was written `writtenAgoMs` ago or later. */
  onReport: (report: HostReport, writtenAgoMs: number) => void
}

type Contact = {
  busy: boolean
  nextMs: number
  answering: boolean
  /** The last try failed, and nothing was heard since. */
  failing: boolean
  /** Who answered last. */
  host?: string
  /** How far the other host's time of day is ahead of this one's, as last written to the log. */
  clockAheadMs: number
}

export class Exchanger {
  readonly #contacts = new Map<string, Contact>()
  #plan: ContactPlan = { relay: true, ranked: true, peerAddresses: [] }
  #timer: Timer | undefined
  #announced = false
  #registryDueMs = 0
  #registryBusy = false
  #stopped = false

  private constructor (private readonly parts: ExchangerParts) {}

  static create (parts: ExchangerParts): Exchanger {
    return new Exchanger(parts)
  }

  start (): void {
    this.#tick()
  }

  stop (): void {
    this.#stopped = true
    this.#timer?.cancel()
  }

  /** This host passes on what others say. */
  get relay (): boolean {
    return this.#plan.relay
  }

  /** This host is one of the few that all others regard as relays. */
  get ranked (): boolean {
    return this.#plan.ranked
  }

  /** Tells every host that passes on the word of others, for changes that can't wait. */
  async tellRelays (): Promise<void> {
    const { members, clock } = this.parts
    const relays = members.live(clock.monotonicMs()).filter(({ summary }) => summary.relay || summary.holdsLease)
    const addresses = [...this.#plan.peerAddresses, ...relays.map(({ summary }) => summary.address.peerAddress)]
    await Promise.allSettled([...new Set(addresses)].map((address) => this.#exchange(address)))
  }

  /** Answers a report that another host sent. */
  onIncoming (report: HostReport): HostReport {
    this.#hear(report, true, Infinity)
    const { sender } = report
    // An exchange tells both sides: this host needn't call before the next one is due.
    const contact = this.#contact(sender.address.peerAddress)
    contact.failing = false
    contact.nextMs = Math.max(contact.nextMs, this.parts.clock.monotonicMs() + this.parts.pace.exchangeMs)
    return this.parts.report(sender)
  }

  #makePlan (): ContactPlan {
    const { members, self, seedPeerAddresses, clock, holdsLease } = this.parts
    const nowMs = clock.monotonicMs()
    return planContacts({
      self,
      mustRelay: holdsLease() || members.group(nowMs).length > 0,
      live: members.live(nowMs).map(({ summary }) => summary),
      mentioned: members.mentioned(nowMs),
      silentRelays: members.silentRelays(nowMs),
      seedPeerAddresses,
      isFailing: (address) => this.#contacts.get(address)?.failing ?? false
    })
  }

  #tick (): void {
    if (this.#stopped) return
    const { clock, members, pace } = this.parts
    const nowMs = clock.monotonicMs()
    members.sweep(nowMs)
    this.#followPlan()
    for (const address of this.#plan.peerAddresses) this.#exchangeIfDue(address, nowMs)
    this.#useRegistryIfDue(nowMs)
    this.#timer = clock.setTimer(pace.exchangeMs / TICKS_AN_EXCHANGE, () => this.#tick())
  }

  #followPlan (): void {
    const before = this.#plan
    this.#plan = this.#makePlan()
    if (before.relay === this.#plan.relay) return
    this.parts.log.info(this.#plan.relay ? 'host is a relay' : 'host reports to a relay', {
      ranked: this.#plan.ranked,
      contacts: this.#plan.peerAddresses.length,
      liveHosts: this.parts.members.live(this.parts.clock.monotonicMs()).length
    })
  }

  #exchangeIfDue (address: string, nowMs: number): void {
    const contact = this.#contact(address)
    if (contact.busy || nowMs < contact.nextMs) return
    this.#exchange(address).catch((error: Error) => this.parts.log.error('exchange with a host failed', { address, reason: error.message }))
  }

  async #exchange (address: string): Promise<void> {
    const contact = this.#contact(address)
    contact.busy = true
    const { clock, instants, calls, log, pace } = this.parts
    const startMs = clock.monotonicMs()
    const startedAt = instants.now()
    try {
      const report = await calls.exchange(address, this.parts.report(this.#known(contact)), pace.timeoutMs)
      this.#hear(report, false, instants.elapsedMs(startedAt))
      this.#logContact(contact, report, clock.monotonicMs() - startMs)
      contact.answering = true
      contact.failing = false
      contact.host = report.sender.address.host
    } catch (error) {
      if (contact.answering) log.warn('host does not answer', { address, reason: (error as Error).message })
      contact.answering = false
      contact.failing = true
    }
    contact.busy = false
    contact.nextMs = (contact.answering ? startMs + pace.exchangeMs : clock.monotonicMs() + pace.retryMs)
  }

  #known ({ host }: Contact): HostReport['sender'] | undefined {
    const { members, clock } = this.parts
    return members.live(clock.monotonicMs()).find(({ summary }) => summary.address.host === host)?.summary
  }

  /** The other host wrote its time of day about half of the way through the exchange. */
  #logContact (contact: Contact, report: HostReport, tookMs: number): void {
    const clockAheadMs = Math.round(report.sentAt.getTime() - this.parts.clock.now().getTime() + tookMs / 2)
    const moved = Math.abs(clockAheadMs - contact.clockAheadMs) >= CLOCK_CHANGE_MS
    if (contact.answering && !moved) return
    contact.clockAheadMs = clockAheadMs
    const { host, peerAddress } = report.sender.address
    this.parts.log.info(contact.answering ? 'clock of a host moved' : 'host answers', { peer: host, address: peerAddress, clockAheadMs })
  }

  #contact (address: string): Contact {
    const known = this.#contacts.get(address)
    if (known !== undefined) return known
    const contact = { busy: false, nextMs: 0, answering: false, failing: false, clockAheadMs: 0 }
    this.#contacts.set(address, contact)
    return contact
  }

  #hear (report: HostReport, called: boolean, writtenAgoMs: number): void {
    if (this.parts.members.hear(report, this.parts.clock.monotonicMs(), called)) this.parts.onReport(report, writtenAgoMs)
  }

  #useRegistryIfDue (nowMs: number): void {
    if (this.#registryBusy || nowMs < this.#registryDueMs) return
    this.#registryBusy = true
    this.#useRegistry(nowMs).then(() => {
      this.#registryDueMs = nowMs + REGISTRY_MS
    }, (error: Error) => {
      this.parts.log.warn('host registry is out of reach', { reason: error.message })
      this.#registryDueMs = nowMs + REGISTRY_RETRY_MS
    }).finally(() => { this.#registryBusy = false })
  }

  /** Announces this host once, then looks for others as long as it knows none. */
  async #useRegistry (nowMs: number): Promise<void> {
    const { registry, self, members } = this.parts
    if (!this.#announced) {
      await registry.announce(self)
      this.#announced = true
    } else if (members.live(nowMs).length > 0) return
    for (const address of await registry.list()) members.mention(address, nowMs)
  }
}
