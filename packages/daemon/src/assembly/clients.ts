import { HttpEngineClient, HttpHostListClient, HttpLogClient } from '@figloom/clients'
import { BackendClient } from '../backends/backend-client.js'
import { InnerClients } from '../peers/inner-clients.js'
import type { Clients, DaemonOptions } from './types.js'

const CONNECTIONS_PER_SERVER = 512
const KEEP_ALIVE_MS = 4000

/** Creates the clients for all services outside the process. */
export function createClients ({ settings, clock }: DaemonOptions): Clients {
  const { platform, health, placement } = settings
  const { connectTimeoutMs } = health
  return {
    log: HttpLogClient.create({ url: platform.logUrl, clock, timeoutMs: platform.logTimeoutMs, connectTimeoutMs }),
    hostList: HttpHostListClient.create({ url: platform.hostListUrl, clock, timeoutMs: platform.hostListTimeoutMs, connectTimeoutMs }),
    engines: HttpEngineClient.create({ clock, timeoutMs: placement.orderTimeoutMs, connectTimeoutMs }),
    backends: BackendClient.create({ maxConnectionsPerServer: CONNECTIONS_PER_SERVER, connectTimeoutMs, keepAliveMs: KEEP_ALIVE_MS }),
    inner: InnerClients.create()
  }
}
