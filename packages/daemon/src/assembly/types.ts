import type { Sender } from '@figloom/control'
import type { EngineClient, HostListClient, LogClient } from '@figloom/clients'
import type { RandomSource } from '@figloom/routing'
import type { Clock, IdSource, Logger } from '@figloom/runtime'
import type { DaemonSettings } from '@figloom/settings'
import type { BackendClient } from '../backends/backend-client.js'
import type { InnerClients } from '../peers/inner-clients.js'

/** Settings and sources of time, ids and randomness of a daemon; tests can pass their own. */
export type DaemonOptions = {
  settings: DaemonSettings
  clock: Clock
  ids: IdSource
  logger: Logger
  random: RandomSource
}

/** URLs of a running daemon's listeners. */
export type DaemonAddresses = { callerUrl: string, operatorUrl: string }

/** Clients for all services outside the process. */
export type Clients = {
  log: LogClient
  hostList: HostListClient
  engines: EngineClient
  backends: BackendClient
  inner: InnerClients
}

/** What the parts of a daemon are created from: its options, identity, addresses and clients. */
export type DaemonContext = DaemonOptions & { self: Sender, addresses: DaemonAddresses, clients: Clients }
