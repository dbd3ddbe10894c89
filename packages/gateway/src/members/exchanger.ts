/** Keeps this host in direct contact with the others: a report to each of them at a steady pace, and at once when it changes. */
import type { Clock, Logger, Timer } from '@figloom/runtime'
import type { MemberTable } from './member-table.js'
import type { HostAddress, HostRegistry, HostReport, PeerCalls } from './types.js'

const EXCHANGE_MS = 400
/** Hosts that don't answer are tried less often. */
const SILENT_EXCHANGE_MS = 1_200
/** Pause between two reads of the registry while hosts are missing from it. */
const REGISTRY_MS = 5_000
const REGISTRY_RETRY_MS = 1_000

export type ExchangerParts = {
  clock: Clock
  log: Logger
  members: MemberTable
  calls: PeerCalls
  registry: HostRegistry
  self: HostAddress
  seedPeerAddresses: readonly string[]
  report: () => HostReport
  /** Called with every report heard. */
  onReport: (report: HostReport) => void
  /** Called with the name of a host that was forgotten. */
  onForgotten: (host: string) => void
}

type Contact = {
  busy: boolean
  nextMs: number
  answering: boolean
  /** How far the other host's time of day is ahead of this one's, as last written to the log. */
  clockAheadMs: number
}

/** A difference of two hosts' times of day is written anew when it changes by this much. */
const CLOCK_CHANGE_MS = 100

export class Exchanger {
  readonly #contacts = new Map<string, Contact>()
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

  /** Tells every host at once, for changes that can't wait. */
  async tellAll (): Promise<void> {
    const contacts = this.#addresses().map((address) => this.#exchange(address))
    await Promise.allSettled(contacts)
  }

  /** Answers a report that another host sent. */
  onIncoming (report: HostReport): HostReport {
    this.#hear(report)
    return this.parts.report()
  }

  #tick (): void {
    if (this.#stopped) return
    const { clock, members, onForgotten } = this.parts
    const nowMs = clock.monotonicMs()
    for (const host of members.sweep(nowMs)) onForgotten(host)
    for (const address of this.#addresses()) this.#exchangeIfDue(address, nowMs)
    this.#useRegistryIfDue(nowMs)
    this.#timer = clock.setTimer(EXCHANGE_MS / 4, () => this.#tick())
  }

  /** Peers that are known, and seeds while they are not. */
  #addresses (): string[] {
    const known = this.parts.members.all().map(({ address }) => address.peerAddress)
    const seeds = this.parts.seedPeerAddresses.filter((address) => address !== this.parts.self.peerAddress)
    return [...new Set([...known, ...seeds])]
  }

  #exchangeIfDue (address: string, nowMs: number): void {
    const contact = this.#contact(address)
    if (contact.busy || nowMs < contact.nextMs) return
    this.#exchange(address).catch((error: Error) => this.parts.log.error('exchange with a host failed', { address, reason: error.message }))
  }

  async #exchange (address: string): Promise<void> {
    const contact = this.#contact(address)
    contact.busy = true
    const { clock, calls, log } = this.parts
    const startMs = clock.monotonicMs()
    try {
      const report = await calls.exchange(address, this.parts.report())
      this.#hear(report)
      this.#logContact(contact, report, clock.monotonicMs() - startMs)
      contact.answering = true
    } catch (error) {
      if (contact.answering) log.warn('host does not answer', { address, reason: (error as Error).message })
      contact.answering = false
    }
    contact.busy = false
    contact.nextMs = clock.monotonicMs() + (contact.answering ? EXCHANGE_MS : SILENT_EXCHANGE_MS)
  }

  /** The other host wrote its time of day about half of the way through the exchange. */
  #logContact (contact: Contact, report: HostReport, tookMs: number): void {
    const clockAheadMs = Math.round(report.sentAt.getTime() - this.parts.clock.now().getTime() + tookMs / 2)
    const moved = Math.abs(clockAheadMs - contact.clockAheadMs) >= CLOCK_CHANGE_MS
    if (contact.answering && !moved) return
    contact.clockAheadMs = clockAheadMs
    const { host, peerAddress } = report.address
    this.parts.log.info(contact.answering ? 'clock of a host moved' : 'host answers', { peer: host, address: peerAddress, clockAheadMs })
  }

  #contact (address: string): Contact {
    const known = this.#contacts.get(address)
    if (known !== undefined) return known
    const contact = { busy: false, nextMs: 0, answering: false, clockAheadMs: 0 }
    this.#contacts.set(address, contact)
    return contact
  }

  #hear (report: HostReport): void {
    this.parts.members.hear(report, this.parts.clock.monotonicMs())
    this.parts.onReport(report)
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
