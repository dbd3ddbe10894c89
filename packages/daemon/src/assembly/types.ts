import type { Sender } from '@figloom/control'
import type { EngineClient, HostListClient, LogClient } from '@figloom/clients'
import type { RandomSource } from '@figloom/routing'
import type { Clock, IdSource, Logger } from '@figloom/runtime'
import type { DaemonSettings } from '@figloom/settings'
import type { BackendClient } from '../backends/backend-client.js'
import type { InnerClients } from '../peers/inner-clients.js'

/** What a daemon is made of; tests pass a clock, ids and random numbers of their own. */
export type DaemonOptions = {
  settings: DaemonSettings
  clock: Clock
  ids: IdSource
  logger: Logger
  random: RandomSource
}

/** Addresses of a daemon that listens. */
export type DaemonAddresses = { callerUrl: string, operatorUrl: string }

/** Clients of everything outside the process. */
export type Clients = {
  log: LogClient
  hostList: HostListClient
  engines: EngineClient
  backends: BackendClient
  inner: InnerClients
}

/** A daemon that is being put together: its options, its process's identity and its clients. */
export type DaemonFrame = DaemonOptions & { self: Sender, addresses: DaemonAddresses, clients: Clients }
