/** Exchanges reports with the hosts of the contact plan: at a fixed interval, and immediately when a change is urgent. */
import type { Clock, Logger, Timer } from '@figloom/runtime'
import type { InstantSource } from '../lease/instant.js'
import type { ContactTiming } from './contact-timing.js'
import { planContacts, type ContactPlan } from './contact-plan.js'
import type { MemberTable } from './member-table.js'
import type { HostAddress, HostRegistry, HostReport, PeerClient } from './types.js'

/** Interval between reads of the registry; it is read only while no other host is known. */
const REGISTRY_POLL_MS = 5_000
const REGISTRY_RETRY_MS = 1_000
/** Number of checks for due exchanges per exchange interval. */
const TICKS_PER_EXCHANGE = 4
/** The offset between two hosts' wall clocks is logged again when it changes by this much. */
const CLOCK_CHANGE_LOG_MS = 100

export type ExchangerParts = {
  clock: Clock
  instants: InstantSource
  log: Logger
  timing: ContactTiming
  members: MemberTable
  calls: PeerClient
  registry: HostRegistry
  self: HostAddress
  seedPeerAddresses: readonly string[]
  holdsLease: () => boolean
  /** Builds the report for a host; `peer` is undefined if the host isn't known yet. */
  report: (peer: HostReport['sender'] | undefined) => HostReport
  /** Called with every report that arrives in order; it was written at most `writtenAgoMs` ago. */
  onReport: (report: HostReport, writtenAgoMs: number) => void
}

type Contact = {
  busy: boolean
  nextExchangeMs: number
  answering: boolean
  /** The last attempt failed, and the host has sent nothing since. */
  failing: boolean
  /** Name of the host that answered last. */
  host?: string
  /** How far the other host's wall clock is ahead of this host's, as logged last. */
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

  /** Whether this host forwards the reports of others. */
  get relay (): boolean {
    return this.#plan.relay
  }

  /** Whether this host is a relay by the ranking of all hosts, not only because hosts report to it or it holds the lease. */
  get ranked (): boolean {
    return this.#plan.ranked
  }

  /** Reports immediately to all relays, the lease holder and the planned contacts, for urgent changes. */
  async reportToRelays (): Promise<void> {
    const { members, clock } = this.parts
    const relays = members.live(clock.monotonicMs()).filter(({ summary }) => summary.relay || summary.holdsLease)
    const addresses = [...this.#plan.peerAddresses, ...relays.map(({ summary }) => summary.address.peerAddress)]
    await Promise.allSettled([...new Set(addresses)].map((address) => this.#exchange(address)))
  }

  /** The registry may have lost this host: it is announced again within `maxDelayMs`, at a random time, so that hosts don't write at once. */
  announceAgain (maxDelayMs: number, random: () => number): void {
    this.#announced = false
    this.#registryDueMs = this.parts.clock.monotonicMs() + random() * maxDelayMs
  }

  /** Answers a report that another host sent. */
  onIncoming (report: HostReport): HostReport {
    this.#receive(report, true, Infinity)
    const { sender } = report
    // An exchange carries reports in both directions: this host needn't call before the next one is due.
    const contact = this.#contact(sender.address.peerAddress)
    contact.failing = false
    contact.nextExchangeMs = Math.max(contact.nextExchangeMs, this.parts.clock.monotonicMs() + this.parts.timing.exchangeMs)
    return this.parts.report(sender)
  }

  #makePlan (): ContactPlan {
    const { members, self, seedPeerAddresses, clock, holdsLease } = this.parts
    const nowMs = clock.monotonicMs()
    return planContacts({
      self,
      mustRelay: holdsLease() || members.groupReports(nowMs).length > 0,
      live: members.live(nowMs).map(({ summary }) => summary),
      discovered: members.discovered(nowMs),
      silentRelays: members.silentRelays(nowMs),
      seedPeerAddresses,
      isFailing: (address) => this.#contacts.get(address)?.failing ?? false
    })
  }

  #tick (): void {
    if (this.#stopped) return
    const { clock, members, timing } = this.parts
    const nowMs = clock.monotonicMs()
    members.sweep(nowMs)
    this.#updatePlan()
    for (const address of this.#plan.peerAddresses) this.#exchangeIfDue(address, nowMs)
    this.#syncRegistryIfDue(nowMs)
    this.#timer = clock.setTimer(timing.exchangeMs / TICKS_PER_EXCHANGE, () => this.#tick())
  }

  #updatePlan (): void {
    const previous = this.#plan
    this.#plan = this.#makePlan()
    if (previous.relay === this.#plan.relay) return
    this.parts.log.info(this.#plan.relay ? 'host is a relay' : 'host reports to a relay', {
      ranked: this.#plan.ranked,
      contacts: this.#plan.peerAddresses.length,
      liveHosts: this.parts.members.live(this.parts.clock.monotonicMs()).length
    })
  }

  #exchangeIfDue (address: string, nowMs: number): void {
    const contact = this.#contact(address)
    if (contact.busy || nowMs < contact.nextExchangeMs) return
    this.#exchange(address).catch((error: Error) => this.parts.log.error('exchange with a host failed', { address, reason: error.message }))
  }

  async #exchange (address: string): Promise<void> {
    const contact = this.#contact(address)
    contact.busy = true
    const { clock, instants, calls, log, timing } = this.parts
    const startMs = clock.monotonicMs()
    const startedAt = instants.now()
    try {
      const report = await calls.exchange(address, this.parts.report(this.#summaryOf(contact)), timing.timeoutMs)
      this.#receive(report, false, instants.elapsedMs(startedAt))
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
    contact.nextExchangeMs = (contact.answering ? startMs + timing.exchangeMs : clock.monotonicMs() + timing.retryMs)
  }

  #summaryOf ({ host }: Contact): HostReport['sender'] | undefined {
    const { members, clock } = this.parts
    return members.live(clock.monotonicMs()).find(({ summary }) => summary.address.host === host)?.summary
  }

  /** Assumes that the other host read its wall clock about halfway through the exchange. */
  #logContact (contact: Contact, report: HostReport, tookMs: number): void {
    const clockAheadMs = Math.round(report.sentAt.getTime() - this.parts.clock.now().getTime() + tookMs / 2)
    const clockMoved = Math.abs(clockAheadMs - contact.clockAheadMs) >= CLOCK_CHANGE_LOG_MS
    if (contact.answering && !clockMoved) return
    contact.clockAheadMs = clockAheadMs
    const { host, peerAddress } = report.sender.address
    this.parts.log.info(contact.answering ? 'clock of a host moved' : 'host answers', { peer: host, address: peerAddress, clockAheadMs })
  }

  #contact (address: string): Contact {
    const known = this.#contacts.get(address)
    if (known !== undefined) return known
    const contact = { busy: false, nextExchangeMs: 0, answering: false, failing: false, clockAheadMs: 0 }
    this.#contacts.set(address, contact)
    return contact
  }

  #receive (report: HostReport, isIncoming: boolean, writtenAgoMs: number): void {
    if (this.parts.members.applyReport(report, this.parts.clock.monotonicMs(), isIncoming)) this.parts.onReport(report, writtenAgoMs)
  }

  #syncRegistryIfDue (nowMs: number): void {
    if (this.#registryBusy || nowMs < this.#registryDueMs) return
    this.#registryBusy = true
    this.#syncRegistry(nowMs).then(() => {
      this.#registryDueMs = nowMs + REGISTRY_POLL_MS
    }, (error: Error) => {
      this.parts.log.warn('host registry is unreachable', { reason: error.message })
      this.#registryDueMs = nowMs + REGISTRY_RETRY_MS
    }).finally(() => { this.#registryBusy = false })
  }

  /** Announces this host once, then reads the other hosts' addresses as long as it knows none that is up. */
  async #syncRegistry (nowMs: number): Promise<void> {
    const { registry, self, members } = this.parts
    if (!this.#announced) {
      await registry.announce(self)
      this.#announced = true
    } else if (members.live(nowMs).length > 0) return
    for (const address of await registry.list()) members.addDiscovered(address, nowMs)
  }
}
