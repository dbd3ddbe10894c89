import type { ResultAsync } from 'neverthrow'
import type { Failure } from '@figloom/runtime'

/** An entry of the platform's list of hosts, which may be stale. */
export type ListedHost = {
  name: string
  /** URL for callers. */
  url: string
  /** URL of the operator listener, which also serves the protocol between hosts; empty for a backend server. */
  innerUrl: string
  availabilityZone: string
  state: 'live' | 'leaving'
}

/** The platform's list of hosts. It is only a hint: no guarantee may depend on it. */
export abstract class HostListClient {
  abstract list (signal?: AbortSignal): ResultAsync<ListedHost[], Failure>
}
