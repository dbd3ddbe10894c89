import type { ResultAsync } from 'neverthrow'
import type { Failure } from '@figloom/runtime'
import { HostListClient, type ListedHost } from '@figloom/clients'

/** Splits the platform's list: entry hosts go on to membership, leaving backend servers to their cells. */
export class ObservedHostList extends HostListClient {
  private constructor (private readonly inner: HostListClient, private readonly onLeavingBackends: (names: Set<string>) => void) {
    super()
  }

  /** `onLeavingBackends` gets the names and URLs of backend servers that are leaving, after each reading. */
  static create (inner: HostListClient, onLeavingBackends: (names: Set<string>) => void): ObservedHostList {
    return new ObservedHostList(inner, onLeavingBackends)
  }

  override list (signal?: AbortSignal): ResultAsync<ListedHost[], Failure> {
    return this.inner.list(signal).map((listed) => {
      const leaving = listed.filter(({ innerUrl, state }) => innerUrl === '' && state === 'leaving')
      this.onLeavingBackends(new Set(leaving.flatMap(({ name, url }) => [name, url])))
      return listed.filter(({ innerUrl }) => innerUrl !== '')
    })
  }
}
