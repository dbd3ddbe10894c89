import type { ResultAsync } from 'neverthrow'
import type { Failure } from '@figloom/runtime'

/** An entry of the platform's lagging list of hosts. */
export type ListedHost = {
  name: string
  /** Address for callers. */
  url: string
  /** Address of the operators' listener, which also carries the inner protocol; empty for a backend server. */
  innerUrl: string
  availabilityZone: string
  state: 'live' | 'leaving'
}

/** The platform's list of hosts: a hint, never the ground for a promise. */
export abstract class HostListClient {
  abstract list (signal?: AbortSignal): ResultAsync<ListedHost[], Failure>
}
