/** Entry hosts with one manual clock and one in-memory log, for tests of claims under kills, freezes, partitions and lost answers. */
import { createHash } from 'node:crypto'
import { errAsync, ResultAsync } from 'neverthrow'
import {
  Clock, createFailure, ManualClock, ResultCode, SequentialIdSource, silentLogger, type Failure, type Timer
} from '@figloom/runtime'
import { LogClient, type LogPage, type ReadOptions } from '@figloom/clients'
import { MemoryLog } from '@figloom/standin'
import { ClaimStreams } from '../claims/claim-streams.js'
import { rankGateways } from '../claims/gateways.js'
import { streamIndexOf } from '../claims/keys.js'
import { KeyClaims, type ClaimResult } from '../claims/key-claims.js'
import { DEFAULT_CLAIM_LIMITS, type ClaimLimits } from '../claims/limits.js'
import { CLAIM_STREAM_COUNT, ClaimPeers, type AttemptEnd, type ClaimAnswer, type ClaimRequest } from '../claims/types.js'

const NEVER = new Promise<never>(() => {})
const ONE_WAY_LATENCY_MS = 1

/** Point in a call at which its host is killed. */
export type KillPoint = 'after-claim' | 'after-send' | 'after-answer'

/** How a call ended for its caller; `lost` means that the caller received no answer. */
export type CallEnd = { kind: 'ran' | 'replay' | 'refused' | 'lost', code?: number, ran?: string, body?: string }

/** Simulates the state of a process: a dead one does nothing more, a frozen one continues when it is thawed. */
export class ProcessGate {
  dead = false
  #frozen: Promise<void> | undefined
  #thaw: () => void = () => {}

  kill (): void {
    this.dead = true
    this.thaw()
  }

  freeze (): void {
    this.#frozen ??= new Promise((resolve) => { this.#thaw = resolve })
  }

  thaw (): void {
    this.#frozen = undefined
    this.#thaw()
  }

  /** Resolves when the process is not frozen; never resolves once it is dead. */
  async pass (): Promise<void> {
    while (this.#frozen !== undefined && !this.dead) await this.#frozen
    if (this.dead) await NEVER
  }
}

class GatedClock extends Clock {
  constructor (readonly clock: ManualClock, readonly gate: ProcessGate) { super() }
  override now (): Date { return this.clock.now() }
  override monotonicMs (): number { return this.clock.monotonicMs() }
  override setTimer (delayMs: number, callback: () => void): Timer {
    let canceled = false
    const timer = this.clock.setTimer(delayMs, () => {
      this.gate.pass().then(() => { if (!canceled) callback() })
    })
    return { cancel: () => { canceled = true; timer.cancel() } }
  }
}

class GatedLog extends LogClient {
  disconnected = false

  constructor (readonly log: MemoryLog, readonly gate: ProcessGate) { super() }

  override append (stream: string, recordId: string, body: unknown, signal?: AbortSignal): ResultAsync<{ offset: number }, Failure> {
    return this.#whileRunning(() => this.log.append(stream, recordId, body, signal))
  }

  override read (stream: string, options: ReadOptions): ResultAsync<LogPage, Failure> {
    return this.#whileRunning(() => this.log.read(stream, options))
  }

  #whileRunning<T> (call: () => ResultAsync<T, Failure>): ResultAsync<T, Failure> {
    if (this.disconnected) return errAsync(createFailure(ResultCode.LogUnavailable, 'disconnected'))
    return new ResultAsync(this.gate.pass().then(call).then(async (result) => {
      await this.gate.pass()
      return result
    }))
  }
}

class ClusterPeers extends ClaimPeers {
  constructor (readonly cluster: ClaimCluster, readonly self: ClaimHost) { super() }

  override async claim (host: string, request: ClaimRequest): Promise<ClaimAnswer | Failure> {
    const peer = await this.#connect(host)
    if (peer === undefined) return createFailure(ResultCode.BackendUnreachable, 'no connection')
    const answer = await peer.streamOf(request.key).claim(request)
    await this.#returnAnswer(peer)
    if (this.cluster.isPartitioned(this.self.name, host)) return NEVER
    return answer
  }

  override async end (host: string, end: AttemptEnd): Promise<boolean> {
    const peer = await this.#connect(host)
    if (peer === undefined) return false
    const accepted = peer.streamOf(end.key).end(end)
    await this.#returnAnswer(peer)
    return accepted
  }

  async #connect (host: string): Promise<ClaimHost | undefined> {
    await this.self.gate.pass()
    const peer = this.cluster.hosts.get(host)
    await this.cluster.clock.sleep(ONE_WAY_LATENCY_MS)
    if (peer === undefined || peer.gate.dead || this.cluster.isPartitioned(this.self.name, host)) return undefined
    await peer.gate.pass()
    return peer
  }

  async #returnAnswer (peer: ClaimHost): Promise<void> {
    await peer.gate.pass()
    await this.cluster.clock.sleep(ONE_WAY_LATENCY_MS)
    await this.self.gate.pass()
  }
}

/** One entry host of the cluster. */
export class ClaimHost {
  readonly gate = new ProcessGate()
  readonly log: GatedLog
  readonly claims: KeyClaims
  readonly streams: ClaimStreams

  constructor (readonly cluster: ClaimCluster, readonly name: string, readonly incarnation: string) {
    const clock = new GatedClock(cluster.clock, this.gate)
    this.log = new GatedLog(cluster.log, this.gate)
    const gatewaysOf = (index: number) => rankGateways(index, cluster.candidates())
    const isLive = (host: string, live: string) => cluster.hosts.get(host)?.incarnation === live && cluster.isListed(host)
    const common = { clock, host: name, incarnation, gatewaysOf }
    this.streams = ClaimStreams.create({ ...common, log: this.log, logger: silentLogger, isLive, limits: cluster.limits })
    const ids = SequentialIdSource.create(`${name}.${incarnation}`)
    this.claims = KeyClaims.create({ ...common, ids, streams: this.streams, peers: new ClusterPeers(cluster, this) })
  }

  streamOf (key: string): ReturnType<ClaimStreams['get']> {
    return this.streams.get(streamIndexOf(key))
  }
}

export type ClusterOptions = { hosts?: string[], limits?: Partial<ClaimLimits>, retentionMs?: number }

/** Hosts, their log, and one plain service that counts how often each key ran. */
export class ClaimCluster {
  readonly clock = ManualClock.create()
  readonly log: MemoryLog
  readonly limits: ClaimLimits
  readonly hosts = new Map<string, ClaimHost>()
  readonly runs = new Map<string, number>()
  /** Hosts that membership lists; a killed host stays here until the test removes it. */
  readonly listed = new Set<string>()
  /** Pairs of hosts that can't reach each other, as `a-b`. */
  readonly partitions = new Set<string>()
  #starts = 0

  constructor ({ hosts = ['a', 'b', 'c'], limits = {}, retentionMs = Infinity }: ClusterOptions = {}) {
    this.log = MemoryLog.create({ clock: this.clock, retentionMs })
    this.limits = { ...DEFAULT_CLAIM_LIMITS, ...limits }
    for (const host of hosts) this.start(host)
  }

  start (name: string): ClaimHost {
    this.#starts += 1
    const host = new ClaimHost(this, name, String(this.#starts))
    this.hosts.set(name, host)
    this.listed.add(name)
    return host
  }

  host (name: string): ClaimHost {
    const host = this.hosts.get(name)
    if (host === undefined) throw new Error(`no host ${name}`)
    return host
  }

  /** Starts every stream at every host, so that none has to find its start point during a call. */
  async startAllStreams (): Promise<void> {
    const indexes = Array.from({ length: CLAIM_STREAM_COUNT }, (_, index) => index)
    for (const { streams } of this.hosts.values()) streams.reconcile(indexes)
    await this.clock.advance(10)
  }

  kill (name: string): void {
    this.host(name).gate.kill()
  }

  isListed (host: string): boolean {
    return this.listed.has(host)
  }

  isPartitioned (from: string, to: string): boolean {
    return this.partitions.has(`${from}-${to}`) || this.partitions.has(`${to}-${from}`)
  }

  candidates (): { host: string, availabilityZone: string }[] {
    return [...this.listed].map((host) => ({ host, availabilityZone: host }))
  }

  /** Makes a call at a host, up to its answer; `killAt` kills the host in between. */
  async call (name: string, key: string, options: { body?: string, timeoutMs?: number, killAt?: KillPoint, serviceMs?: number } = {}): Promise<CallEnd> {
    const host = this.host(name)
    const { body = key, timeoutMs = 2000, killAt, serviceMs = 5 } = options
    const fingerprint = createHash('sha256').update(body).digest()
    await host.gate.pass()
    const result = await host.claims.claim({ service: 'booking', key, fingerprint, timeoutMs })
    if (killAt === 'after-claim') host.gate.kill()
    await host.gate.pass()
    return result.kind === 'won' ? this.#run(host, key, result, killAt, serviceMs) : toEnd(result)
  }

  async #run (host: ClaimHost, key: string, { attempt }: Extract<ClaimResult, { kind: 'won' }>, killAt: KillPoint | undefined, serviceMs: number): Promise<CallEnd> {
    if (!attempt.beginSend()) return { kind: 'refused', code: ResultCode.ClaimUnavailable.code, ran: 'no' }
    if (killAt === 'after-send') host.gate.kill()
    const count = (this.runs.get(key) ?? 0) + 1
    this.runs.set(key, count)
    await this.clock.sleep(serviceMs)
    if (killAt === 'after-answer') host.gate.kill()
    await host.gate.pass()
    const body = `${key} run ${count}`
    attempt.answered({ status: 200, headers: [['content-type', 'text/plain']], body: Buffer.from(body) })
    return { kind: 'ran', body }
  }
}

/** Tracks the end of a call that may never be answered; `lost` until it is. */
export function trackCall (call: Promise<CallEnd>): { end: CallEnd } {
  const holder: { end: CallEnd } = { end: { kind: 'lost' } }
  call.then((end) => { holder.end = end })
  return holder
}

function toEnd (result: ClaimResult): CallEnd {
  if (result.kind === 'replay') return { kind: 'replay', body: Buffer.from(result.answer.bodyBase64, 'base64').toString() }
  if (result.kind === 'refused') return { kind: 'refused', code: result.failure.code.code, ran: result.failure.ran }
  return { kind: 'lost' }
}
