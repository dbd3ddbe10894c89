import { errAsync, ok, ResultAsync } from 'neverthrow'
import { createFailure, ResultCode, type Clock, type Failure } from '@figloom/runtime'
import { HostListClient, type ListedHost } from '@figloom/clients'

/** Injected faults of the host list. */
export type HostListFaults = {
  /** Every call fails. */
  down: boolean
  /** Delay after which a change becomes visible to readers, in milliseconds. */
  lagMs: number
}

type ListVersion = { changedAtMs: number, hosts: Map<string, ListedHost> }

const MAX_LIST_VERSIONS = 1_000

/** A simulated host list without its HTTP layer. Hosts register themselves; readers get the list as it was `lagMs` ago. */
export class MemoryHostList extends HostListClient {
  readonly faults: HostListFaults
  readonly #versions: ListVersion[]

  private constructor (private readonly clock: Clock, hosts: ListedHost[], lagMs: number) {
    super()
    this.faults = { down: false, lagMs }
    this.#versions = [{ changedAtMs: -Infinity, hosts: new Map(hosts.map((host) => [host.name, host])) }]
  }

  /** `hosts` are listed from the start, regardless of `lagMs`. */
  static create (options: { clock: Clock, hosts?: ListedHost[], lagMs?: number }): MemoryHostList {
    return new MemoryHostList(options.clock, options.hosts ?? [], options.lagMs ?? 0)
  }

  /** Adds a host or replaces its entry. */
  register (host: ListedHost): void {
    this.#change((hosts) => hosts.set(host.name, host))
  }

  /** Changes the state of a host; returns whether the host is listed. */
  setState (name: string, state: ListedHost['state']): boolean {
    const host = this.#latest().hosts.get(name)
    if (host === undefined) return false
    this.register({ ...host, state })
    return true
  }

  remove (name: string): void {
    this.#change((hosts) => hosts.delete(name))
  }

  override list (): ResultAsync<ListedHost[], Failure> {
    if (this.faults.down) return errAsync(createFailure(ResultCode.PlatformUnavailable, 'the host list did not answer'))
    const asOfMs = this.clock.monotonicMs() - this.faults.lagMs
    const version = this.#versions.findLast(({ changedAtMs }) => changedAtMs <= asOfMs)
    const hosts = [...version?.hosts.values() ?? []].map((host) => ({ ...host }))
    return new ResultAsync(Promise.resolve(ok(hosts)))
  }

  #latest (): ListVersion {
    return this.#versions.at(-1) as ListVersion
  }

  #change (change: (hosts: Map<string, ListedHost>) => void): void {
    const hosts = new Map(this.#latest().hosts)
    change(hosts)
    this.#versions.push({ changedAtMs: this.clock.monotonicMs(), hosts })
    if (this.#versions.length > MAX_LIST_VERSIONS) this.#versions.shift()
  }
}
