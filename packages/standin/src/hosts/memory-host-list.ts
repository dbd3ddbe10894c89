import { errAsync, ok, ResultAsync } from 'neverthrow'
import { createFailure, ResultCode, type Clock, type Failure } from '@figloom/runtime'
import { HostListClient, type ListedHost } from '@figloom/clients'

/** Faults of the host list. */
export type HostListFaults = {
  /** Every call fails. */
  down: boolean
  /** Age of the list that is given out, in milliseconds. */
  lagMs: number
}

type Version = { atMs: number, hosts: Map<string, ListedHost> }

const KEPT_VERSIONS = 1_000

/** The host list's core: hosts register themselves; readers see the list as it was `lagMs` ago. */
export class MemoryHostList extends HostListClient {
  readonly faults: HostListFaults
  readonly #versions: Version[]

  private constructor (private readonly clock: Clock, hosts: ListedHost[], lagMs: number) {
    super()
    this.faults = { down: false, lagMs }
    this.#versions = [{ atMs: -Infinity, hosts: new Map(hosts.map((host) => [host.name, host])) }]
  }

  /** `hosts` are listed from the start, whatever the lag. */
  static create (options: { clock: Clock, hosts?: ListedHost[], lagMs?: number }): MemoryHostList {
    return new MemoryHostList(options.clock, options.hosts ?? [], options.lagMs ?? 0)
  }

  /** Adds a host or replaces its entry. */
  register (host: ListedHost): void {
    this.#change((hosts) => hosts.set(host.name, host))
  }

  /** Changes a host's state; returns whether the host is known. */
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
    const version = this.#versions.findLast(({ atMs }) => atMs <= asOfMs)
    const hosts = [...version?.hosts.values() ?? []].map((host) => ({ ...host }))
    return new ResultAsync(Promise.resolve(ok(hosts)))
  }

  #latest (): Version {
    return this.#versions.at(-1) as Version
  }

  #change (change: (hosts: Map<string, ListedHost>) => void): void {
    const hosts = new Map(this.#latest().hosts)
    change(hosts)
    this.#versions.push({ atMs: this.clock.monotonicMs(), hosts })
    if (this.#versions.length > KEPT_VERSIONS) this.#versions.shift()
  }
}
