/** The request path of a gateway in front of raw runners, without membership, store or orders. */
import { createServer, type Server } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { Registry, silentLogger, SystemClock, type Clock } from '@figloom/runtime'
import { createGateMetrics } from '../gates/gate-metrics.js'
import { LeavingRunners } from '../gates/leaving-runners.js'
import { RunnerGates } from '../gates/runner-gates.js'
import { createCrashMetrics } from '../crashes/crash-metrics.js'
import { CrashMonitor } from '../crashes/crash-monitor.js'
import { PeerWitness } from '../crashes/peer-witness.js'
import { RunnerChecks } from '../crashes/runner-checks.js'
import { TcpProbe } from '../crashes/tcp-probe.js'
import { ConfigState } from '../config/config-state.js'
import { RouteKind, type Route, type Service } from '../config/types.js'
import { InstantSource } from '../lease/instant.js'
import { LimitControl } from '../limits/limit-control.js'
import { createContactTiming } from '../members/contact-timing.js'
import { createUnlimitedBudgets, type MemoryBudgets } from '../memory/memory-budgets.js'
import { MemberTable } from '../members/member-table.js'
import { ConnectPeerClient } from '../members/peer-service.js'
import type { ExpectedLoad } from '../members/types.js'
import { KnownLoads } from '../orders/known-loads.js'
import { QuotaControl } from '../quota/quota-control.js'
import { createQuotaMetrics } from '../quota/quota-log.js'
import { CallerCheck } from '../front/caller-check.js'
import { LoopLag } from '../front/loop-lag.js'
import { RunnerConnections } from '../forward/runner-connections.js'
import { createPassOnMetrics } from '../pass-on/metrics.js'
import { PassOnClient } from '../pass-on/pass-on-client.js'
import { DirectPaths } from '../paths/direct-paths.js'
import { SharedBudget } from '../retry/shared-budget.js'
import { RunnerTable } from '../runners/runner-table.js'
import type { RunnerEntry } from '../runners/types.js'
import { DemandMeter } from '../serve/demand-meter.js'
import { createRequestMetrics } from '../serve/metrics.js'
import { OpenRequests } from '../serve/open-requests.js'
import { RouteDurations } from '../serve/route-durations.js'
import { serveRequest } from '../serve/serve-request.js'
import { AdapterLoader, type ServeContext } from '../serve/types.js'
import { OpenStreams } from '../streams/open-streams.js'
import { StreamOrigins } from '../streams/stream-origins.js'
import { VersionHistory } from '../streams/version-history.js'
import { MemoryCrashLog } from './memory-crash-log.js'
import { MemoryStreamLog, StreamRecords } from './memory-stream-log.js'
import { RawRunner, type RawExchange } from './raw-runner.js'
import { TestCodec } from './test-codec.js'

class NoAdapters extends AdapterLoader {
  override ensure (): Promise<boolean> {
    return Promise.resolve(false)
  }
}

const SERVICE: Service = { name: 'plain', maxConnections: 50 }

export function createRoute (changes: Partial<Route>): Route {
  return {
    name: 'route',
    host: 'test',
    pathPrefix: '/',
    kind: RouteKind.Idempotent,
    timeoutMs: 5_000,
    targetLatencyMs: 100,
    priority: 0,
    services: [{ service: 'plain', weight: 1 }],
    maxAttempts: 2,
    resumable: false,
    maxPauseMs: 300,
    isPublic: false,
    ...changes
  }
}

export function createEntry (changes: Partial<RunnerEntry>): RunnerEntry {
  return {
    id: 'runner-1',
    service: 'plain',
    address: '127.0.0.1:1',
    availabilityZone: 'zone-1',
    softwareVersion: 'v1',
    slots: 8,
    draining: false,
    models: [],
    localWeights: [],
    ...changes
  }
}

/** Limit control of a host that knows no other hosts. */
function createLimits (clock: Clock, instants: InstantSource, runners: RunnerTable): LimitControl {
  const self = { host: 'host', availabilityZone: 'zone-1', callerAddress: '', peerAddress: '', capacityCores: 1 }
  return LimitControl.create({
    clock,
    instants,
    log: silentLogger,
    self,
    incarnation: 'host-1',
    members: MemberTable.create(self.host, createContactTiming(3_000)),
    calls: ConnectPeerClient.create(),
    isLeaving: () => false,
    runnerLoad: (runnerId) => runners.loadOf(runnerId),
    random: () => 0.5
  })
}

/** Quotas of a host that knows no other hosts. */
function createQuotas (clock: Clock, instants: InstantSource, config: ConfigState): QuotaControl {
  return QuotaControl.create({
    clock,
    instants,
    log: silentLogger,
    metrics: createQuotaMetrics(new Registry()),
    self: { host: 'host', availabilityZone: 'zone-1', callerAddress: '', peerAddress: '', capacityCores: 1 },
    members: MemberTable.create('host', createContactTiming(3_000)),
    calls: ConnectPeerClient.create(),
    isBusy: () => false,
    config,
    seedCount: 0,
    bound: { windowMs: 8_000, overage: 0.1, slack: 0 }
  })
}

/** Crash monitor of a host that knows no other hosts. */
function createCrashMonitor (clock: Clock, instants: InstantSource, runners: RunnerTable): CrashMonitor {
  const probe = TcpProbe.create()
  const random = () => 0.5
  const checks = RunnerChecks.create({ probe, listed: () => runners.all().map(({ entry }) => entry), hasEnded: () => false, random })
  return CrashMonitor.create({
    clock,
    instants,
    log: silentLogger,
    metrics: createCrashMetrics(new Registry()),
    probe,
    witness: PeerWitness.create({ clock, calls: ConnectPeerClient.create(), checks, availabilityZone: 'zone-1', hosts: () => [], isCutOff: () => false, random }),
    listed: () => runners.all().map(({ entry }) => entry),
    onPathBroken: () => {},
    crashLog: MemoryCrashLog.create(),
    host: 'host',
    incarnation: 'host-1',
    startedMs: instants.nowMs(),
    random,
    mayTry: () => false,
    readsThroughPeers: () => false,
    hasLivePeers: () => false,
    onUrgent: () => {}
  })
}

/** What a caller received on its connection. */
export type RawAnswer = { text: string, status: number, ended: boolean, headers: string, body: string }

export class GatewayFixture {
  readonly #runners: RawRunner[] = []
  readonly #server: Server

  /** @param expectedLoads loads in progress that are reported to the host
   * @param overlong runners whose answers exceeded a limit, with the reason */
  private constructor (readonly context: ServeContext, readonly expectedLoads: ExpectedLoad[], readonly overlong: string[]) {
    this.#server = createServer((request, response) => { serveRequest(context, request, response) })
  }

  static async create (routes: Route[], service = SERVICE, streamRecords = StreamRecords.create(), memory: MemoryBudgets = createUnlimitedBudgets()): Promise<GatewayFixture> {
    const expectedLoads: ExpectedLoad[] = []
    const clock = SystemClock.create()
    const instants = InstantSource.create(clock)
    const config = ConfigState.create()
    config.adopt({
      version: 1,
      routes,
      services: new Map([[service.name, service]]),
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 }
    })
    const leaving = LeavingRunners.create()
    const lag = LoopLag.create(clock)
    const overlong: string[] = []
    const runners = RunnerTable.create(leaving)
    const limits = createLimits(clock, instants, runners)
    const streamLog = MemoryStreamLog.create(streamRecords)
    const history = VersionHistory.create({ clock, log: silentLogger, runners, streamLog })
    const fixture = new GatewayFixture({
      clock,
      instants,
      log: silentLogger,
      metrics: createRequestMetrics(new Registry()),
      codec: TestCodec.create(),
      config,
      runners,
      limits,
      quotas: createQuotas(clock, instants, config),
      closures: RunnerGates.create({ clock, instants, log: silentLogger, metrics: createGateMetrics(new Registry()), host: 'host', limits, leaving }),
      crashes: createCrashMonitor(clock, instants, runners),
      versions: history,
      openStreams: OpenStreams.create(),
      origins: StreamOrigins.create({ clock, log: silentLogger, history, streamLog, hostCount: () => 1 }),
      connections: RunnerConnections.create((runnerId, reason) => overlong.push(`${runnerId}: ${reason}`)),
      paths: DirectPaths.create(),
      passOn: PassOnClient.create({ clock, metrics: createPassOnMetrics(new Registry()), memory: memory.hop, isLive: () => true }),
      memory,
      budget: SharedBudget.create({ ratio: 0.2, slack: 50, windowMs: 10_000 }),
      demand: DemandMeter.create(),
      durations: RouteDurations.create(),
      openRequests: OpenRequests.create(),
      adapters: new NoAdapters(),
      loads: KnownLoads.create(() => expectedLoads),
      lag,
      callerCheck: CallerCheck.create(lag),
      host: { availabilityZone: 'zone-1', hostCount: () => 1, hostWithStaleLoads: () => undefined, runnersAgeMs: () => 0, isConfigFresh: () => true, isLeaving: () => false, endsInMs: () => undefined },
      random: () => 0.5
    }, expectedLoads, overlong)
    await new Promise<void>((resolve) => fixture.#server.listen(0, '127.0.0.1', resolve))
    return fixture
  }

  /** Adds a runner; `answer` is called with each request. */
  async addRunner (id: string, answer: (exchange: RawExchange) => void, changes: Partial<RunnerEntry> = {}): Promise<RawRunner> {
    const runner = await RawRunner.create(answer)
    this.#runners.push(runner)
    this.context.runners.upsert(createEntry({ id, address: runner.address, ...changes }))
    return runner
  }

  /** Sends one request on a new connection and reads until the connection closes. */
  call (options: { method?: string, path?: string, id?: string, headers?: string[], body?: string, httpVersion?: string }): Promise<RawAnswer> {
    const { method = 'GET', path = '/', id = 'request-1', headers = [], body, httpVersion = '1.1' } = options
    const bodyHeaders = body === undefined ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]
    const { port } = this.#server.address() as AddressInfo
    const socket = connect(port, '127.0.0.1')
    socket.write([`${method} ${path} HTTP/${httpVersion}`, 'Host: test', `Request-Id: ${id}`, 'Connection: close', ...headers, ...bodyHeaders, '', body ?? ''].join('\r\n'))
    return new Promise((resolve) => {
      let text = ''
      let ended = false
      socket.on('data', (chunk) => { text += chunk.toString('latin1') })
      socket.on('end', () => { ended = true })
      socket.on('error', () => {})
      socket.on('close', () => resolve(toAnswer(text, ended)))
    })
  }

  /** Closes all connections of callers in order, as the kernel does when the process ends. */
  closeCallers (): void {
    this.#server.closeAllConnections()
  }

  /** Port for tests that open their own connections. */
  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  async close (): Promise<void> {
    this.#server.closeAllConnections()
    await new Promise((resolve) => this.#server.close(resolve))
    this.context.passOn.destroy()
    await this.context.connections.destroy()
    await Promise.all(this.#runners.map((runner) => runner.close()))
  }
}

function toAnswer (text: string, ended: boolean): RawAnswer {
  const headEnd = text.indexOf('\r\n\r\n')
  return {
    text,
    status: Number(text.slice(9, 12)),
    ended,
    headers: headEnd < 0 ? text : text.slice(0, headEnd),
    body: headEnd < 0 ? '' : text.slice(headEnd + 4)
  }
}
