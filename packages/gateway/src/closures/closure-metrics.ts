/** Counters of what runners say about being closed. */
import { Counter, type Registry } from '@figloom/runtime'

export type ClosureMetrics = {
  /** Processes of runners that said that they leave, to this host or to others. */
  leaving: Counter
  pauses: Counter
  withheld: Counter
}

export function createClosureMetrics (registry: Registry): ClosureMetrics {
  const registers = [registry]
  return {
    leaving: new Counter({ name: 'figloom_gateway_runners_leaving_total', help: 'Runners that said in an answer that they leave.', registers }),
    pauses: new Counter({ name: 'figloom_gateway_runner_pauses_total', help: 'Refusals of runners that asked this host for a pause.', registers }),
    withheld: new Counter({ name: 'figloom_gateway_withheld_sendings_total', help: 'Requests that had a connection and were not written, since their runner was closed by then.', registers })
  }
}
