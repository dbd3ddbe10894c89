/**
 * Stops requests that end the processes of runners ("queries of death"). It collects the ends that this host observes and those
 * that other hosts report, and blocks a prompt part once enough ends speak against it. What has to outlive all hosts is stored on
 * the platform.
 */
import type { Clock, Logger, Timer } from '@figloom/runtime'
import type { LocatedRunner } from '../gates/types.js'
import type { InstantSource } from '../lease/instant.js'
import type { ListVersion } from '../members/change-list.js'
import { CrashEvidence } from './crash-evidence.js'
import { CrashFacts } from './crash-facts.js'
import type { CrashMetrics } from './crash-metrics.js'
import { CrashStore } from './crash-store.js'
import { EndDetector, keyOf } from './end-detector.js'
import { PartBlocks } from './part-blocks.js'
import type { CrashLog, CrashUpdate, EndRecord, ListenerProbe, PartBlock, ProcessEnd, SentRequest } from './types.js'

/** Other hosts' records of an end arrive within this time; a decision without them might block the wrong part. */
const DECISION_DELAY_MS = 60
/** Parts that are blocked at once; the next end may block more. */
const MAX_BLOCKS_PER_DECISION = 64
/** Most requests that the log names for one end. */
const MAX_LOGGED_REQUESTS = 12

export type CrashMonitorParts = {
  clock: Clock
  instants: InstantSource
  log: Logger
  metrics: CrashMetrics
  probe: ListenerProbe
  crashLog: CrashLog
  /** Name of this host. */
  host: string
  incarnation: string
  random: () => number
  /** Whether this is the one host that may try a request whose part is blocked. */
  mayTry: () => boolean
  /** Whether other hosts read the platform's records for this one. */
  readsThroughPeers: () => boolean
  hasLivePeers: () => boolean
  /** Called when other hosts should learn of this host's evidence at once. */
  onUrgent: () => void
}

/** Called when a part is blocked while requests with it are in progress. */
export type BlockListener = (partId: string) => void

export class CrashMonitor {
  readonly #ends: EndDetector
  readonly #evidence = CrashEvidence.create()
  readonly #blocks = PartBlocks.create()
  readonly #facts: CrashFacts
  readonly #store: CrashStore
  /** Versions of other hosts' facts that this host has, by host. */
  readonly #seen = new Map<string, ListVersion>()
  readonly #listeners = new Map<string, Set<BlockListener>>()
  /** The request that may be run in spite of the block of a part. */
  readonly #trials = new Map<string, string>()
  #stopped = false
  #urgentTimer: Timer | undefined
  #decisionTimer: Timer | undefined

  private constructor (private readonly parts: CrashMonitorParts) {
    const { clock, instants, log, crashLog, host, random, readsThroughPeers, hasLivePeers } = parts
    this.#facts = CrashFacts.create(parts.incarnation)
    this.#ends = EndDetector.create({ ...parts, onEnd: (end) => this.#onProcessEnd(end) })
    this.#store = CrashStore.create({
      clock,
      instants,
      log,
      crashLog,
      host,
      random,
      readsThroughPeers,
      hasLivePeers,
      onBlock: (block) => this.#applyBlock(block, 'the platform'),
      onEnds: (ends) => this.#addEnds(ends)
    })
  }

  static create (parts: CrashMonitorParts): CrashMonitor {
    return new CrashMonitor(parts)
  }

  start (): void {
    this.#store.start()
  }

  stop (): void {
    this.#stopped = true
    this.#urgentTimer?.cancel()
    this.#decisionTimer?.cancel()
    this.#store.stop()
  }

  /** Number of parts that are blocked. */
  get blockedParts (): number {
    return this.#blocks.all().filter(({ blocked }) => blocked).length
  }

  isBlocked (partIds: readonly string[]): boolean {
    return partIds.some((partId) => this.#blocks.isBlocked(partId))
  }

  /** The block that keeps a request from being run; undefined if it may be sent. May start a trial of a blocked part. */
  blockOf (requestId: string, partIds: readonly string[]): PartBlock | undefined {
    const blocked = this.#blocksOf(requestId, partIds)[0]
    if (blocked === undefined || !this.#startTrial(requestId, partIds)) return blocked
    return undefined
  }

  /** Whether a request that has a connection may be written now. */
  mayWrite (requestId: string, partIds: readonly string[]): boolean {
    return this.#blocksOf(requestId, partIds).length === 0
  }

  /** Calls the listener when one of these parts is blocked; returns a function that ends this. */
  watch (partIds: readonly string[], listener: BlockListener): () => void {
    for (const partId of partIds) {
      const listeners = this.#listeners.get(partId) ?? new Set()
      this.#listeners.set(partId, listeners.add(listener))
    }
    return () => partIds.forEach((partId) => this.#unwatch(partId, listener))
  }

  /** A request is written to a runner. */
  onSent (runner: LocatedRunner, request: SentRequest): void {
    this.#ends.onSent(runner, request)
    // A trial is one sending: the request isn't sent again if it ends its runner.
    for (const partId of request.partIds) if (this.#trials.get(partId) === request.requestId) this.#trials.delete(partId)
  }

  /** A part of the answer to a request was received. */
  onBegun (runner: LocatedRunner, requestId: string): void {
    const request = this.#ends.onBegun(runner, requestId)
    if (request === undefined) return
    this.#evidence.onBegun(request.partIds, this.#nowMs())
    for (const partId of request.partIds) if (this.#blocks.isBlocked(partId)) this.#lift(partId, 'a request with the part began')
  }

  /** A request is no longer at its runner. @param broken its connection broke before the answer was complete */
  onEnded (runner: LocatedRunner, requestId: string, broken: boolean): void {
    this.#ends.onEnded(runner, requestId, broken)
  }

  /** What another host lacks. @param seen the version of this host's facts that it has */
  update (seen: ListVersion | undefined): CrashUpdate | undefined {
    return this.#facts.changesSince(seen, { ends: this.#evidence.endRecords(), begun: this.#evidence.begunRecords(), blocks: this.#blocks.all() }, this.#nowMs())
  }

  /** The version of another host's facts that this host has. */
  seenOf (host: string): ListVersion | undefined {
    return this.#seen.get(host)
  }

  /** Applies what another host reports. */
  receive (host: string, { to, ends, begun, blocks }: CrashUpdate): void {
    const nowMs = this.#nowMs()
    for (const { sinceAgoMs, ...block } of blocks) this.#applyBlock({ ...block, sinceMs: nowMs - sinceAgoMs }, host)
    for (const { partId, begunAgoMs } of begun) this.#evidence.addBegun({ partId, begunMs: nowMs - begunAgoMs })
    this.#addEnds(ends.map(({ endedAgoMs, ...end }) => ({ ...end, endedMs: nowMs - endedAgoMs })))
    this.#seen.set(host, to)
  }

  /** The platform came back from an older copy. */
  onNewEra (): void {
    this.#store.onNewEra(this.#blocks.all())
  }

  sweep (): void {
    this.#evidence.sweep(this.#nowMs())
  }

  #onProcessEnd (end: ProcessEnd): void {
    this.#logEnd(end)
    const prompts = end.requests.filter(({ begun }) => !begun).map(({ partIds }) => partIds)
    const record = { process: keyOf(end.runner), endedMs: end.endedMs, prompts }
    if (!this.#evidence.addEnd(record)) return
    this.#decideSoon()
    this.#store.onOwnEnd(record, (partId) => this.#evidence.endsOf(partId).length > 0)
    this.#sendSoon()
  }

  #addEnds (ends: EndRecord[]): void {
    const added = ends.filter((end) => this.#evidence.addEnd(end))
    if (added.length > 0) this.#decideSoon()
  }

  #decideSoon (): void {
    if (this.#stopped || this.#decisionTimer !== undefined) return
    this.#decisionTimer = this.parts.clock.setTimer(DECISION_DELAY_MS, () => {
      this.#decisionTimer = undefined
      this.#blockParts()
    })
  }

  /** Blocks parts until no more have enough ends against them. */
  #blockParts (): void {
    for (let count = 0; count < MAX_BLOCKS_PER_DECISION; count += 1) {
      const decision = this.#evidence.nextBlock((partId) => this.#blocks.isBlocked(partId))
      if (decision === undefined) return
      const { partId, ends } = decision
      const block = this.#blocks.next(partId, { blocked: true, sinceMs: this.#nowMs(), reason: `${ends} runners ended with requests that had the part and had not begun` })
      this.#applyBlock(block, this.parts.host)
      this.#store.writeSoon(block)
    }
  }

  #lift (partId: string, reason: string): void {
    const block = this.#blocks.next(partId, { blocked: false, sinceMs: this.#nowMs(), reason, trials: 0 })
    this.#applyBlock(block, this.parts.host)
    this.#store.writeSoon(block)
    this.#sendSoon()
  }

  #applyBlock (block: PartBlock, from: string): void {
    const wasBlocked = this.#blocks.isBlocked(block.partId)
    if (!this.#blocks.apply(block)) return
    const { partId, blocked, revision, trials, reason, sinceMs } = block
    const processes = this.#evidence.endsOf(partId).map(({ process }) => process).join(' ')
    if (wasBlocked !== blocked) {
      this.parts.metrics.blockChanges.inc({ change: blocked ? 'blocked' : 'lifted' })
      this.parts.log.warn(blocked ? 'prompt part is blocked' : 'block of a prompt part is lifted', { part: partId, revision, trials, from, reason, processes })
    }
    // The ends before no longer count: the next end of any runner would block the part again.
    if (!blocked) this.#evidence.addBegun({ partId, begunMs: sinceMs })
    if (blocked && !wasBlocked) for (const listener of [...this.#listeners.get(partId) ?? []]) listener(partId)
  }

  #blocksOf (requestId: string, partIds: readonly string[]): PartBlock[] {
    return partIds.flatMap((partId) => {
      const block = this.#blocks.get(partId)
      return block === undefined || !block.blocked || this.#trials.get(partId) === requestId ? [] : [block]
    })
  }

  /** Whether this request is run as the trial of all blocked parts that it has. */
  #startTrial (requestId: string, partIds: readonly string[]): boolean {
    const nowMs = this.#nowMs()
    const blocked = this.#blocksOf(requestId, partIds)
    if (!this.parts.mayTry() || !blocked.every(({ partId }) => this.#blocks.isTrialDue(partId, nowMs))) return false
    for (const { partId, trials, reason } of blocked) {
      const block = this.#blocks.next(partId, { blocked: true, sinceMs: nowMs, reason, trials: trials + 1 })
      this.#blocks.apply(block)
      this.#trials.set(partId, requestId)
      this.#store.writeSoon(block)
      this.parts.log.info('request with a blocked prompt part is tried', { requestId, part: partId, trials: block.trials })
    }
    return true
  }

  #unwatch (partId: string, listener: BlockListener): void {
    const listeners = this.#listeners.get(partId)
    listeners?.delete(listener)
    if (listeners?.size === 0) this.#listeners.delete(partId)
  }

  /** Several ends at once are sent in one report. */
  #sendSoon (): void {
    if (this.#stopped || this.#urgentTimer !== undefined) return
    this.#urgentTimer = this.parts.clock.setTimer(0, () => {
      this.#urgentTimer = undefined
      this.parts.onUrgent()
    })
  }

  #logEnd ({ runner, endedMs, requests }: ProcessEnd): void {
    const { log, metrics } = this.parts
    const waiting = requests.filter(({ begun }) => !begun)
    metrics.ends.inc()
    metrics.requestsAtEnds.inc({ begun: 'yes' }, requests.length - waiting.length)
    for (const { attempt } of waiting) metrics.requestsAtEnds.inc({ begun: attempt > 1 ? 'no, sent again' : 'no' })
    log.warn('runner ended with unfinished requests', {
      runner: runner.id,
      address: runner.address,
      startedUnixMs: runner.startedUnixMs,
      endedAgoMs: Math.round(this.#nowMs() - endedMs),
      begun: requests.length - waiting.length,
      notBegun: waiting.length,
      requests: waiting.slice(0, MAX_LOGGED_REQUESTS).map(describe).join('; ')
    })
  }

  #nowMs (): number {
    return this.parts.instants.nowMs()
  }
}

function describe ({ requestId, partIds, requestKey, attempt }: SentRequest): string {
  return `${requestId} sending ${attempt} key ${requestKey} parts ${partIds.join(',')}`
}
