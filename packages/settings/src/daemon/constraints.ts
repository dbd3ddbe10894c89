/** Constraints between keys of figloomd's settings. */
import { addressesClash, parseAddress } from '../schema/fields.js'
import type { IsValid } from '../schema/cross-check.js'
import type { PathIssue } from '../toml/messages.js'
import { TraceExporter, type DaemonSettings } from './schema.js'

type SectionName = keyof DaemonSettings
type Constraint = {
  /** Key that a violation is reported at. */
  path: readonly [SectionName, string]
  /** Other keys that the constraint depends on. */
  dependsOn: readonly (readonly [SectionName, string])[]
  message: string
  isViolated: (settings: DaemonSettings) => boolean
}

const CONSTRAINTS: readonly Constraint[] = [
  {
    path: ['host', 'operatorAddress'],
    dependsOn: [['host', 'callerAddress']],
    message: 'clashes with host.callerAddress: both listeners would need the same port',
    isViolated: ({ host }) => listenersClash(host.callerAddress, host.operatorAddress)
  },
  {
    path: ['host', 'operatorUrl'],
    dependsOn: [['host', 'callerUrl']],
    message: 'is the same as host.callerUrl',
    isViolated: ({ host }) => host.callerUrl !== undefined && host.callerUrl === host.operatorUrl
  },
  {
    path: ['shutdown', 'graceMs'],
    dependsOn: [['lookup', 'ttlMs']],
    message: 'must exceed lookup.ttlMs, so that callers with a cached answer are still served',
    isViolated: ({ shutdown, lookup }) => shutdown.graceMs <= lookup.ttlMs
  },
  {
    path: ['lease', 'renewEveryMs'],
    dependsOn: [['lease', 'marginMs'], ['lease', 'durationMs']],
    message: 'together with lease.marginMs must be less than lease.durationMs',
    isViolated: ({ lease }) => lease.renewEveryMs + lease.marginMs >= lease.durationMs
  },
  {
    path: ['health', 'unhealthyAfterMs'],
    dependsOn: [['health', 'reportPollMs']],
    message: 'must exceed health.reportPollMs',
    isViolated: ({ health }) => health.unhealthyAfterMs <= health.reportPollMs
  },
  {
    path: ['health', 'peerTimeoutMs'],
    dependsOn: [['health', 'peerExchangeMs']],
    message: 'must exceed health.peerExchangeMs',
    isViolated: ({ health }) => health.peerTimeoutMs <= health.peerExchangeMs
  },
  {
    path: ['traces', 'otlpUrl'],
    dependsOn: [['traces', 'exporter']],
    message: 'is needed by the exporter otlp',
    isViolated: ({ traces }) => traces.exporter === TraceExporter.Otlp && traces.otlpUrl === undefined
  }
]

/** Finds violated constraints, among those whose keys are all valid. */
export function checkDaemonConstraints (settings: DaemonSettings, isValid: IsValid): PathIssue[] {
  return CONSTRAINTS
    .filter((constraint) => isValid(constraint.path) && constraint.dependsOn.every(isValid))
    .filter((constraint) => constraint.isViolated(settings))
    .map((constraint) => ({ path: constraint.path, message: constraint.message }))
}

function listenersClash (first: string, second: string): boolean {
  const a = parseAddress(first)
  const b = parseAddress(second)
  return a !== undefined && b !== undefined && addressesClash(a, b)
}
