/** Complete gateway hosts over loopback, on a platform whose configuration and runner list the test sets. */
import { silentLogger, SystemClock } from '@figloom/runtime'
import { RouteKind, type GatewayConfig } from '../config/types.js'
import { EraTracker } from '../eras/era-tracker.js'
import { Gateway, type GatewayParts } from '../gateway.js'
import { AppendOutcome, LeaseLog, type LeaseTail } from '../lease/types.js'
import { HostRegistry } from '../members/types.js'
import type { RunnerEntry } from '../runners/types.js'
import { PlatformCalls } from '../platform-calls.js'
import { PlatformWatch, type PlatformEvents } from '../types.js'
import { FakeRunnerOrders } from './fake-runner.js'
import { CrashRecords, MemoryCrashLog } from './memory-crash-log.js'
import { MemoryStreamLog } from './memory-stream-log.js'
import { freeAddress } from './free-address.js'
import { createEntry, createRoute } from './gateway-fixture.js'
import type { RawRunner } from './raw-runner.js'
import { TestCodec } from './test-codec.js'

class FixedWatch extends PlatformWatch {
  events: PlatformEvents | undefined

  override start (events: PlatformEvents): void {
    this.events = events
  }

  override stop (): void {}

  override readConfig (): void {}

  override decodeConfig (encoded: Uint8Array): GatewayConfig {
    return createConfig(Number(Buffer.from(encoded).toString()))
  }

  override configReadAgoMs (): number | undefined {
    return undefined
  }
}

class NoRegistry extends HostRegistry {
  override async announce (): Promise<void> {}

  override async list (): Promise<never[]> {
    return []
  }
}

class NoLeases extends LeaseLog {
  override async readTail (): Promise<LeaseTail> {
    throw new Error('this test has no lease log')
  }

  override async append (): Promise<AppendOutcome> {
    return AppendOutcome.Unknown
  }
}

export type TestHost = { gateway: Gateway, watch: FixedWatch, callerAddress: string, lookupAddress: string, readinessAddress: string, peerAddress: string }

export type HostOptions = Pick<GatewayParts, 'probe' | 'paths'> & {
  /** Awaited before the host starts. */
  beforeStart?: (host: TestHost) => Promise<void>
}

/**
 * Starts a host without a configuration or runners; the test must stop it.
 */
export async function startHost (seedPeerAddresses: string[] = [], records = CrashRecords.create(), { probe, paths, beforeStart }: HostOptions = {}): Promise<TestHost> {
  const [callers, lookup, readiness, peers] = await Promise.all([freeAddress(), freeAddress(), freeAddress(), freeAddress()])
  const clock = SystemClock.create()
  const watch = new FixedWatch()
  const gateway = Gateway.create({
    clock,
    log: silentLogger,
    random: Math.random,
    probe,
    paths,
    settings: {
      self: { host: `host-${callers}`, availabilityZone: 'z', callerAddress: callers, peerAddress: peers, capacityCores: 1 },
      callerListener: callers,
      readinessListener: readiness,
      lookupListener: lookup,
      peerListener: peers,
      seedPeerAddresses,
      budget: { ratio: 0.2, slack: 50, windowMs: 10_000 },
      graceMs: 8_000,
      contactMs: 3_000,
      orderGapMs: 3_000,
      quotaBound: { windowMs: 8_000, overage: 0.1, slack: 0 },
      drainNoticeMs: 2_000,
      maxLookupTtlMs: 5_000,
      memoryMb: 350,
      maxDescriptors: 4_100
    },
    platform: {
      codec: TestCodec.create(),
      eras: EraTracker.create(silentLogger),
      calls: PlatformCalls.create(),
      watch,
      registry: new NoRegistry(),
      leaseLog: new NoLeases(),
      orders: FakeRunnerOrders.create([], clock, () => 'carried'),
      crashLog: MemoryCrashLog.create(records),
      streamLog: MemoryStreamLog.create(),
      lookupWire: { lookupPath: '/hosts', readinessPath: '/ready', formatLookup: (addresses) => JSON.stringify(addresses) }
    }
  })
  const host = { gateway, watch, callerAddress: callers, lookupAddress: lookup, readinessAddress: readiness, peerAddress: peers }
  await beforeStart?.(host)
  await gateway.start()
  return host
}

export function createConfig (version: number): GatewayConfig {
  return {
    version,
    routes: [
      createRoute({ pathPrefix: '/stream/', kind: RouteKind.Stream, timeoutMs: 20_000 }),
      createRoute({ pathPrefix: '/resumable/', kind: RouteKind.Stream, timeoutMs: 20_000, resumable: true }),
      createRoute({ pathPrefix: '/plain/', kind: RouteKind.Idempotent, timeoutMs: 5_000 }),
      createRoute({ name: 'book', pathPrefix: '/book/', kind: RouteKind.NonIdempotent, timeoutMs: 12_000, maxAttempts: 1 })
    ],
    services: new Map([['plain', { name: 'plain', maxConnections: 200 }]]),
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
  }
}

/** Gives a host a configuration and the runners `runner-1`, `runner-2` and so on. */
export function configure (host: TestHost, runners: readonly RawRunner[], changes: Partial<RunnerEntry> = {}): void {
  host.watch.events?.onConfig(createConfig(3), Buffer.from('3'))
  listRunners(host, runners, changes)
}

export function listRunners ({ watch }: TestHost, runners: readonly RawRunner[], changes: Partial<RunnerEntry> = {}): void {
  const records = runners.map(({ address }, index) => {
    const id = `runner-${index + 1}`
    return { id, position: 0, entry: createEntry({ id, address, ...changes }) }
  })
  watch.events?.onRunnerUpdate({ to: 1, records, ageMs: 60_000 })
}
