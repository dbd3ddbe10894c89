import type { Client } from '@connectrpc/connect'
import type { LogClient } from '@figloom/clients'
import type { InnerService } from '@figloom/protocol'
import type { Clock, IdSource } from '@figloom/runtime'
import type { ClientSettings } from '@figloom/settings'
import type { Output } from './output/report.js'

/** Client of a daemon's operator listener. */
export type DaemonClient = Client<typeof InnerService>

/** What commands use of the world outside; tests pass stand-ins. */
export type Environment = {
  clock: Clock
  ids: IdSource
  output: Output
  createLog: (settings: ClientSettings['log']) => LogClient
  createDaemon: (operatorUrl: string) => DaemonClient
  /** Aborts when the operator interrupts the program. */
  signal: AbortSignal
}
