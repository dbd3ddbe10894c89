/** Which host allocates a part of a customer's quota: all hosts that know the same hosts choose the same one. State without I/O. */
import { hashOf, pickByWeight } from '../choose/rendezvous.js'
import { MAX_PARTS } from './quota-parts.js'

/** A host that has just started fills its buckets from then on: earlier, it knows few others and would take itself for the allocator of all parts. */
const START_PAUSE_MS = 500
/** For so long from its start the hosts change because it gets to know them. */
const DISCOVERY_MS = 2_000
/** After the hosts changed, others may still ask the former allocator of a part for about this long. */
const HANDOVER_MS = 500

/** Quotas of as many hosts are allocated by the same three hosts: each host asks few others, for many customers at once. */
const HOSTS_PER_GROUP = 128
/** Hosts with at least this part of the largest capacity allocate, if there are enough of them. */
const LARGE_PART = 0.75

/** A host that may allocate; the address is undefined for this host. */
export type AllocatorHost = { id: string, peerAddress?: string, capacityCores: number }

export type QuotaHostsParts = {
  self: string
  capacityCores: number
  /** Monotonic time of the start of this process. */
  startedMs: number
  /** Hosts that may allocate, except this one; the same object as long as nothing changed. */
  others: () => readonly AllocatorHost[]
  /** This host allocates nothing as long as there are others. */
  isBusy: () => boolean
  nowMs: () => number
}

/** The allocator of each part, and since when it is this one as far as this host knows. */
export type PartAllocator = { host: AllocatorHost, sinceMs: number }

type Snapshot = { others: readonly AllocatorHost[], busy: boolean, hosts: AllocatorHost[], ids: string, changedMs: number }

export class QuotaHosts {
  #snapshot: Snapshot | undefined
  /** Allocators of each group of customers, for the present hosts. */
  #groups: PartAllocator[][] = []

  private constructor (private readonly parts: QuotaHostsParts) {}

  static create (parts: QuotaHostsParts): QuotaHosts {
    return new QuotaHosts(parts)
  }

  isSelf ({ id }: AllocatorHost): boolean {
    return id === this.parts.self
  }

  allocators (customer: string): readonly PartAllocator[] {
    this.observe()
    return this.#groups[hashOf(customer) % this.#groups.length] ?? []
  }

  /** Called regularly, so that it is known since when each host allocates. */
  observe (): void {
    const before = this.#snapshot
    const { hosts, ids, changedMs } = this.#current()
    if (before?.ids === ids) return
    const count = groupCount(hosts.length)
    // Other groups than before have other allocators.
    const known = this.#groups.length === count ? this.#groups : []
    this.#groups = Array.from({ length: count }, (_, group) => Array.from({ length: MAX_PARTS }, (__, part) => this.#pick(`${part} ${group}/${count}`, hosts, known[group]?.[part], changedMs)))
  }

  #pick (key: string, hosts: readonly AllocatorHost[], before: PartAllocator | undefined, changedMs: number): PartAllocator {
    const host = pickByWeight(key, hosts) ?? this.#self()
    if (before?.host.id === host.id) return { host, sinceMs: before.sinceMs }
    const { startedMs } = this.parts
    const handoverMs = changedMs - startedMs < DISCOVERY_MS ? startedMs : changedMs + HANDOVER_MS
    return { host, sinceMs: Math.max(handoverMs, startedMs + START_PAUSE_MS) }
  }

  #self (): AllocatorHost {
    return { id: this.parts.self, capacityCores: this.parts.capacityCores }
  }

  #current (): Snapshot {
    const { others, isBusy, startedMs, nowMs } = this.parts
    const present = others()
    const busy = isBusy()
    const known = this.#snapshot
    if (known !== undefined && known.others === present && known.busy === busy) return known
    const hosts = largeOnes(busy && present.length > 0 ? present : [...present, this.#self()])
    const ids = hosts.map(({ id }) => id).sort().join('\n')
    // What wasn't observed may have changed a moment ago.
    const changedMs = known?.ids === ids ? known.changedMs : known === undefined && nowMs() - startedMs < START_PAUSE_MS ? startedMs : nowMs()
    this.#snapshot = { others: present, busy, hosts, ids, changedMs }
    return this.#snapshot
  }
}

/** Number of groups of customers; those of one group have the same allocators. */
function groupCount (hosts: number): number {
  return 2 ** Math.max(0, Math.ceil(Math.log2(hosts / HOSTS_PER_GROUP)))
}

/** Small hosts have little to spare beside their callers. */
function largeOnes (hosts: readonly AllocatorHost[]): AllocatorHost[] {
  const largest = Math.max(...hosts.map(({ capacityCores }) => capacityCores))
  const large = hosts.filter(({ capacityCores }) => capacityCores >= largest * LARGE_PART)
  return large.length >= MAX_PARTS ? large : [...hosts]
}
