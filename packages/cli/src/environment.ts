import type { Client } from '@connectrpc/connect'
import type { LogClient } from '@figloom/clients'
import type { InnerService } from '@figloom/protocol'
import type { Clock, IdSource } from '@figloom/runtime'
import type { ClientSettings } from '@figloom/settings'
import type { Output } from './output/report.js'

/** Client of the operator interface of a host's daemon. */
export type DaemonClient = Client<typeof InnerService>

/** External dependencies of the commands; tests pass fakes. */
export type Environment = {
  clock: Clock
  ids: IdSource
  output: Output
  createLogClient: (settings: ClientSettings['log']) => LogClient
  createDaemonClient: (operatorUrl: string) => DaemonClient
  /** Aborts when the operator interrupts the program. */
  signal: AbortSignal
}
