/** Schema of figloomd's settings file, by section. */
import { z } from 'zod'
import { decimal, flag, httpUrl, integer, listenAddress, milliseconds, name, ratio, text } from '../schema/fields.js'

const MIB = 1024 * 1024

/** Destination of trace spans. */
export const TraceExporter = { None: 'none', Json: 'json', Otlp: 'otlp' } as const
export type TraceExporter = (typeof TraceExporter)[keyof typeof TraceExporter]

const host = z.strictObject({
  name: name('Name of this host, unique among all hosts.'),
  availabilityZone: name('Availability zone of this host.'),
  region: name('Region of this host.'),
  callerAddress: listenAddress('Address of the listener for callers, host:port; port 0 takes a free port.'),
  operatorAddress: listenAddress('Address of the listener for operators and peers, host:port; port 0 takes a free port.'),
  callerUrl: httpUrl('URL that lookups return to callers; by default the listener\'s own address.').optional(),
  operatorUrl: httpUrl('URL that peers and operators use; by default the listener\'s own address.').optional(),
  release: text('Release name that status and peers show; by default the program\'s own.').optional()
})

const platform = z.strictObject({
  logUrl: httpUrl('Base URL of the platform\'s log service.'),
  hostListUrl: httpUrl('Base URL of the platform\'s list of hosts.'),
  logTimeoutMs: milliseconds(2000, 'Timeout of one call to the log service, except reads that wait for new records.'),
  hostListTimeoutMs: milliseconds(2000, 'Timeout of one call to the list of hosts.'),
  hostListPollMs: milliseconds(2000, 'Time between two reads of the list of hosts.'),
  configStream: name('Stream of the log that holds the configuration.').default('config'),
  announceToHostList: flag(false, 'Whether this host registers itself in the list; for stand-in platforms without a registry.')
})

const lookup = z.strictObject({
  ttlMs: milliseconds(5000, 'Time for which callers may cache the answer to a lookup.')
})

const limits = z.strictObject({
  maxBodyBytes: integer(16 * MIB, 'Largest body of a request.'),
  maxHeaderBytes: integer(16 * 1024, 'Largest total size of a request\'s headers.', { min: 1024 }),
  maxConnections: integer(10_000, 'Maximum number of open connections from callers.'),
  maxStreamsPerConnection: integer(256, 'Maximum number of open HTTP/2 streams on one connection.'),
  maxInFlight: integer(4000, 'Maximum number of requests in flight on this host.')
})

const admission = z.strictObject({
  defaultDeadlineMs: milliseconds(60_000, 'Time for the complete answer if the request sets no deadline.'),
  batchShareRatio: ratio(0.5, 'Largest share of a runner\'s slots that batch requests may take while interactive ones wait.')
})

const health = z.strictObject({
  reportPollMs: milliseconds(2000, 'Time between two reads of a runner\'s load report.'),
  reportTimeoutMs: milliseconds(1000, 'Timeout of one read of a load report.'),
  unhealthyAfterMs: milliseconds(4500, 'A runner without a load report for this long receives no new requests.'),
  peerExchangeMs: milliseconds(1000, 'Time between two exchanges of state with a peer of the same cell.'),
  peerTimeoutMs: milliseconds(3500, 'A peer from which nothing was received for this long is considered down.'),
  connectTimeoutMs: milliseconds(1000, 'Timeout for opening a connection to a backend server or peer.')
})

const lease = z.strictObject({
  durationMs: milliseconds(15_000, 'Time for which a claim of a cell\'s lease is valid.'),
  renewEveryMs: milliseconds(8000, 'Time between two renewals by the holder.'),
  marginMs: milliseconds(500, 'Time that other hosts wait after the end of a lease, to allow for clock drift.')
})

const placement = z.strictObject({
  storeLoadsPerSecond: decimal(2, 'Rate at which the weight store allows model loads to start.', { min: 0.01 }),
  storeConcurrentLoads: integer(24, 'Number of concurrent model loads that the store serves at full speed.'),
  adapterTransitLimit: integer(190, 'Maximum number of adapters in transit at the same time, over all runners.'),
  horizonMs: milliseconds(600_000, 'Time within which the benefit of a move must exceed its cost.'),
  planEveryMs: milliseconds(1000, 'Time between two plans of a cell\'s placement.'),
  orderTimeoutMs: milliseconds(5000, 'Timeout of one order to an engine.')
})

const claims = z.strictObject({
  batchWindowMs: milliseconds(25, 'Time for which claims of idempotency keys are collected into one append.', { min: 0 }),
  keepAnswersMs: milliseconds(1_800_000, 'Time for which the answer to a keyed call is kept for retries.')
})

const shutdown = z.strictObject({
  graceMs: milliseconds(30_000, 'Time that requests in flight have to finish after SIGTERM; must exceed lookup.ttlMs.')
})

const traces = z.strictObject({
  exporter: z.enum(Object.values(TraceExporter)).default(TraceExporter.Json).describe('Where spans go: nowhere, to standard output as JSON lines, or to an OTLP collector.'),
  otlpUrl: httpUrl('URL of the OTLP collector; needed by the exporter otlp.').optional(),
  sampleRatio: ratio(0.01, 'Share of requests that are traced, unless traceparent decides it.')
})

const logs = z.strictObject({
  level: z.enum(['error', 'warn', 'info', 'debug']).default('info').describe('Lowest level of log lines that are written.')
})

const control = z.strictObject({
  enabled: flag(true, 'Whether this host takes part in control; false is for measuring the cost of control.')
})

/** Schema of figloomd's settings file. */
export const daemonSettingsSchema = z.strictObject({
  host: host.describe('This host and its listeners.'),
  platform: platform.describe('Services of the platform.'),
  lookup: lookup.prefault({}).describe('Answers to lookups.'),
  limits: limits.prefault({}).describe('Limits on callers.'),
  admission: admission.prefault({}).describe('Admission of requests.'),
  health: health.prefault({}).describe('Health of runners and peers.'),
  lease: lease.prefault({}).describe('Leases of cells.'),
  placement: placement.prefault({}).describe('Moves of models and adapters.'),
  claims: claims.prefault({}).describe('Idempotency keys of non-idempotent calls.'),
  shutdown: shutdown.prefault({}).describe('Graceful shutdown.'),
  traces: traces.prefault({}).describe('Traces.'),
  logs: logs.prefault({}).describe('Log lines.'),
  control: control.prefault({}).describe('Control tasks.')
})

/** Settings of figloomd with all defaults filled in. */
export type DaemonSettings = z.output<typeof daemonSettingsSchema>
