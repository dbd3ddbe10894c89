import type { ResultAsync } from 'neverthrow'
import type { Failure } from '@figloom/runtime'
import { HostListClient, type ListedHost } from '@figloom/clients'

/** Returns only the entry hosts of the platform's host list, and reports its leaving backend servers to a callback. */
export class EntryHostList extends HostListClient {
  private constructor (private readonly inner: HostListClient, private readonly onLeavingBackends: (names: Set<string>) => void) {
    super()
  }

  /** `onLeavingBackends` gets the names and URLs of the leaving backend servers each time the list has been read. */
  static create (inner: HostListClient, onLeavingBackends: (names: Set<string>) => void): EntryHostList {
    return new EntryHostList(inner, onLeavingBackends)
  }

  override list (signal?: AbortSignal): ResultAsync<ListedHost[], Failure> {
    return this.inner.list(signal).map((listed) => {
      const leaving = listed.filter(({ innerUrl, state }) => innerUrl === '' && state === 'leaving')
      this.onLeavingBackends(new Set(leaving.flatMap(({ name, url }) => [name, url])))
      return listed.filter(({ innerUrl }) => innerUrl !== '')
    })
  }
}
