/** Counters of runner processes that ended with requests of this host. */
import { Counter, type Registry } from '@figloom/runtime'

export type CrashMetrics = {
  ends: Counter
  requestsAtEnds: Counter<'begun'>
  unconfirmedEnds: Counter<'verdict'>
  partBlockChanges: Counter<'change'>
  requestBlockChanges: Counter<'change'>
}

export function createCrashMetrics (registry: Registry): CrashMetrics {
  const registers = [registry]
  return {
    ends: new Counter({ name: 'figloom_gateway_runner_ends_total', help: 'Runner processes that ended while requests of this host were at them.', registers }),
    requestsAtEnds: new Counter({ name: 'figloom_gateway_requests_at_runner_ends_total', help: 'Requests of this host that were at a runner when its process ended, by whether their answer had begun.', labelNames: ['begun'], registers }),
    unconfirmedEnds: new Counter({ name: 'figloom_gateway_unconfirmed_runner_ends_total', help: 'Runners that broke connections of this host and refused new ones, and that count as running: other hosts reach them (alive), or no host could tell (unconfirmed).', labelNames: ['verdict'], registers }),
    partBlockChanges: new Counter({ name: 'figloom_gateway_prompt_part_blocks_total', help: 'Prompt parts that were blocked or whose block was lifted.', labelNames: ['change'], registers }),
    requestBlockChanges: new Counter({ name: 'figloom_gateway_request_blocks_total', help: 'Requests whose content was blocked or whose block was lifted.', labelNames: ['change'], registers })
  }
}
