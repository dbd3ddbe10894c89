/** Counters of the signals by which runners close themselves to requests. */
import { Counter, type Registry } from '@figloom/runtime'

export type GateMetrics = {
  /** Runner processes that announced to this host or to others that they leave. */
  leaving: Counter
  pauses: Counter
  /** Requests that weren't written although they had a connection, since their runner had closed by then. */
  withheld: Counter
}

export function createGateMetrics (registry: Registry): GateMetrics {
  const registers = [registry]
  return {
    leaving: new Counter({ name: 'figloom_gateway_runners_leaving_total', help: 'Runners that said in an answer that they leave.', registers }),
    pauses: new Counter({ name: 'figloom_gateway_runner_pauses_total', help: 'Refusals of runners that asked this host for a pause.', registers }),
    withheld: new Counter({ name: 'figloom_gateway_withheld_sendings_total', help: 'Requests that had a connection and were not written, since their runner was closed by then.', registers })
  }
}
