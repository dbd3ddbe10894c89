/** Conditions between several keys of figloomd's settings. */
import { addressesClash, parseAddress } from '../schema/fields.js'
import type { IsSound } from '../schema/rules.js'
import type { PathIssue } from '../toml/messages.js'
import { TraceExporter, type DaemonSettings } from './schema.js'

type SectionName = keyof DaemonSettings
type Rule = {
  /** Key that the issue is reported at. */
  at: readonly [SectionName, string]
  /** Other keys that the condition reads. */
  reads: readonly (readonly [SectionName, string])[]
  message: string
  isBroken: (settings: DaemonSettings) => boolean
}

const RULES: readonly Rule[] = [
  {
    at: ['host', 'operatorAddress'],
    reads: [['host', 'callerAddress']],
    message: 'clashes with host.callerAddress: both listeners would need the same port',
    isBroken: ({ host }) => listenersClash(host.callerAddress, host.operatorAddress)
  },
  {
    at: ['host', 'operatorUrl'],
    reads: [['host', 'callerUrl']],
    message: 'is the same as host.callerUrl',
    isBroken: ({ host }) => host.callerUrl !== undefined && host.callerUrl === host.operatorUrl
  },
  {
    at: ['shutdown', 'graceMs'],
    reads: [['lookup', 'ttlMs']],
    message: 'must exceed lookup.ttlMs, so that callers who kept an answer are still served',
    isBroken: ({ shutdown, lookup }) => shutdown.graceMs <= lookup.ttlMs
  },
  {
    at: ['lease', 'renewEveryMs'],
    reads: [['lease', 'marginMs'], ['lease', 'durationMs']],
    message: 'together with lease.marginMs must be less than lease.durationMs',
    isBroken: ({ lease }) => lease.renewEveryMs + lease.marginMs >= lease.durationMs
  },
  {
    at: ['health', 'unhealthyAfterMs'],
    reads: [['health', 'reportPollMs']],
    message: 'must exceed health.reportPollMs',
    isBroken: ({ health }) => health.unhealthyAfterMs <= health.reportPollMs
  },
  {
    at: ['health', 'peerTimeoutMs'],
    reads: [['health', 'peerExchangeMs']],
    message: 'must exceed health.peerExchangeMs',
    isBroken: ({ health }) => health.peerTimeoutMs <= health.peerExchangeMs
  },
  {
    at: ['traces', 'otlpUrl'],
    reads: [['traces', 'exporter']],
    message: 'is needed by the exporter otlp',
    isBroken: ({ traces }) => traces.exporter === TraceExporter.Otlp && traces.otlpUrl === undefined
  }
]

/** Finds the broken conditions among those whose keys are sound. */
export function checkDaemonRules (settings: DaemonSettings, isSound: IsSound): PathIssue[] {
  return RULES
    .filter((rule) => isSound(rule.at) && rule.reads.every(isSound))
    .filter((rule) => rule.isBroken(settings))
    .map((rule) => ({ path: rule.at, message: rule.message }))
}

function listenersClash (first: string, second: string): boolean {
  const a = parseAddress(first)
  const b = parseAddress(second)
  return a !== undefined && b !== undefined && addressesClash(a, b)
}
