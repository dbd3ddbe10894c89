/** Counters of requests that hosts pass on for each other. */
import { Counter, type Registry } from '@figloom/runtime'
import { FailureStage, FaultAt } from '../forward/attempt.js'
import { isReasonOfHost, type RefusalReason } from './refusal-reason.js'

export const PassOnOutcome = {
  /** The whole answer arrived. */
  Complete: 'complete',
  /** The host that has the caller no longer needed the answer. */
  Canceled: 'canceled',
  /** The host that was to pass it on was not reached or refused; the runner did not receive the request. */
  HostRefused: 'host refused',
  /** The host that passed it on was lost. */
  HostLost: 'host lost',
  /** The runner accepted no connection, or was closed to requests. */
  RunnerRefused: 'runner refused',
  /** The runner broke the connection. */
  RunnerLost: 'runner lost'
} as const
export type PassOnOutcome = (typeof PassOnOutcome)[keyof typeof PassOnOutcome]

export type PassOnMetrics = {
  /** Requests of this host's callers that other hosts passed on. */
  passedOn: Counter<'outcome'>
  /** Requests that this host sent to runners for other hosts. */
  servedForHosts: Counter<'outcome'>
}

export function createPassOnMetrics (registry: Registry): PassOnMetrics {
  const registers = [registry]
  return {
    passedOn: new Counter({ name: 'figloom_gateway_passed_on_total', help: 'Attempts by way of another host, by outcome.', labelNames: ['outcome'], registers }),
    servedForHosts: new Counter({ name: 'figloom_gateway_served_for_hosts_total', help: 'Requests sent to runners for other hosts, by outcome.', labelNames: ['outcome'], registers })
  }
}

export function outcomeOfFailure (stage: FailureStage, at: FaultAt): PassOnOutcome {
  const wasSent = stage === FailureStage.Sent || stage === FailureStage.Answer
  if (at === FaultAt.Path) return wasSent ? PassOnOutcome.HostLost : PassOnOutcome.HostRefused
  return wasSent ? PassOnOutcome.RunnerLost : PassOnOutcome.RunnerRefused
}

export function outcomeOfRefusal (reason: RefusalReason): PassOnOutcome {
  return isReasonOfHost(reason) ? PassOnOutcome.HostRefused : PassOnOutcome.RunnerRefused
}
