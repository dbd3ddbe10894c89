/**
 * Stops requests that end the processes of runners ("queries of death"). It collects the ends that this host observes and those
 * that other hosts report, and blocks a request, or a part of prompts, once enough ends speak against it. What has to outlive all
 * hosts is stored on the platform.
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
import { FeatureBlocks } from './feature-blocks.js'
import type { BlockDecision } from './likely-causes.js'
import { RefusalMeter, type LargeBlock } from './refusal-meter.js'
import { isRequestKey } from './request-key.js'
import { Departure, EndVerdict, type CrashLog, type CrashUpdate, type EndRecord, type FeatureBlock, type ListenerProbe, type ProcessEnd, type RunnerWitness, type SentRequest, type WitnessReport } from './types.js'

/** Other hosts' records of an end arrive within this time; a decision without them might block the wrong part. */
const DECISION_DELAY_MS = 60
/** Features that are blocked at once; the next end may block more. */
const MAX_BLOCKS_PER_DECISION = 64
/** The platform lists the next process of a runner within this time. */
const LISTED_WITHIN_MS = 10_000
/** Most requests that the log names for one end. */
const MAX_LOGGED_REQUESTS = 12

export type CrashMonitorParts = {
  clock: Clock
  instants: InstantSource
  log: Logger
  metrics: CrashMetrics
  probe: ListenerProbe
  /** Confirms that a runner ended, and that not only this host's links to it broke. */
  witness: RunnerWitness
  /** The processes of runners that the platform lists. */
  listed: () => readonly LocatedRunner[]
  /** The path from this host to a runner is broken, as another host reaches the runner. */
  onPathBroken: (runner: LocatedRunner) => void
  crashLog: CrashLog
  /** Name of this host. */
  host: string
  incarnation: string
  /** When this host started, on the clock that also counts suspensions. */
  startedMs: number
  random: () => number
  /** Whether this is the one host that may try a blocked request. */
  mayTry: () => boolean
  /** Whether other hosts read the platform's records for this one. */
  readsThroughPeers: () => boolean
  hasLivePeers: () => boolean
  /** Called when other hosts should learn of this host's evidence at once. */
  onUrgent: () => void
}

/** Called when a feature is blocked while requests with it are in progress. */
export type BlockListener = (featureId: string) => void

export class CrashMonitor {
  readonly #ends: EndDetector
  readonly #evidence: CrashEvidence
  readonly #blocks = FeatureBlocks.create()
  readonly #facts: CrashFacts
  readonly #store: CrashStore
  /** Versions of other hosts' facts that this host has, by host. */
  readonly #seen = new Map<string, ListVersion>()
  readonly #listeners = new Map<string, Set<BlockListener>>()
  /** The request that may be run in spite of the block of a feature. */
  readonly #trials = new Map<string, string>()
  /** Features of the requests that are being tried at runners. */
  readonly #sentTrials = new Map<string, string[]>()
  readonly #refusals = RefusalMeter.create()
  #stopped = false
  #urgentTimer: Timer | undefined
  #decisionTimer: Timer | undefined

  private constructor (private readonly parts: CrashMonitorParts) {
    const { clock, instants, log, crashLog, host, random, readsThroughPeers, hasLivePeers } = parts
    this.#evidence = CrashEvidence.create(parts.startedMs)
    this.#facts = CrashFacts.create(parts.incarnation)
    this.#ends = EndDetector.create({ ...parts, onEnd: (end) => this.#onProcessEnd(end), onUnconfirmed: (runner, report) => this.#onUnconfirmedEnd(runner, report) })
    this.#store = CrashStore.create({
      clock,
      startedMs: parts.startedMs,
      instants,
      log,
      crashLog,
      host,
      random,
      readsThroughPeers,
      hasLivePeers,
      onBlock: (block) => this.#applyBlock(block, 'the platform'),
      onEnds: (ends) => this.#addEnds(ends),
      suspectsOf: (end, minEnds) => this.#evidence.suspectsOf(end, minEnds)
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

  /** Number of prompt parts that are blocked. */
  get blockedParts (): number {
    return this.#blocked().filter((featureId) => !isRequestKey(featureId)).length
  }

  /** Number of whole requests that are blocked. */
  get blockedRequests (): number {
    return this.#blocked().filter(isRequestKey).length
  }

  isBlocked (featureIds: readonly string[]): boolean {
    return featureIds.some((featureId) => this.#blocks.isBlocked(featureId))
  }

  /** The block that keeps a request from being run; undefined if it may be sent. May start a trial of a blocked feature. */
  blockOf (requestId: string, featureIds: readonly string[]): FeatureBlock | undefined {
    const blocks = this.#blocksOf(requestId, featureIds)
    if (blocks.length === 0 || this.#startTrial(requestId, featureIds)) return undefined
    for (const { featureId } of blocks) this.#refusals.onRefused(featureId)
    return blocks[0]
  }

  /** Whether a request that has a connection may be written now. */
  mayWrite (requestId: string, featureIds: readonly string[]): boolean {
    return this.#blocksOf(requestId, featureIds).length === 0
  }

  /** Calls the listener when one of these features is blocked; returns a function that ends this. */
  watch (featureIds: readonly string[], listener: BlockListener): () => void {
    this.#refusals.onRequest()
    for (const featureId of featureIds) {
      const listeners = this.#listeners.get(featureId) ?? new Set()
      this.#listeners.set(featureId, listeners.add(listener))
    }
    return () => featureIds.forEach((featureId) => this.#unwatch(featureId, listener))
  }

  /** A request is written to a runner. */
  onSent (runner: LocatedRunner, request: SentRequest): void {
    this.#ends.onSent(runner, request)
    // A trial is one sending: the request isn't sent again if it ends its runner.
    const tried = request.featureIds.filter((featureId) => this.#trials.get(featureId) === request.requestId)
    for (const featureId of tried) this.#trials.delete(featureId)
    if (tried.length > 0) this.#sentTrials.set(request.requestId, tried)
  }

  /** A part of the answer to a request was received. */
  onBegun (runner: LocatedRunner, requestId: string): void {
    const request = this.#ends.onBegun(runner, requestId)
    if (request === undefined) return
    this.#clear(request.featureIds.filter((featureId) => !isRequestKey(featureId)), 'a request with the part began')
    for (const key of request.featureIds.filter(isRequestKey)) this.#evidence.onRequestBegun(key, this.#nowMs())
  }

  /** A request is no longer at its runner. Only a whole answer clears the request: it may end its runner in the middle of one. */
  onLeft (runner: LocatedRunner, requestId: string, departure: Departure): void {
    const request = this.#ends.onLeft(runner, requestId, departure)
    if (departure === Departure.Answered && request !== undefined) this.#clear(request.featureIds, 'a request was answered')
    const tried = this.#sentTrials.get(requestId) ?? []
    this.#sentTrials.delete(requestId)
    // A request that its runner refused, or that was taken back, tells nothing.
    if (departure === Departure.Other) for (const featureId of tried) this.#repeatTrial(featureId)
  }

  /** Whether the process that is listed for this runner has ended: what answers at its address now is another one, of unknown version. */
  hasEnded (runner: LocatedRunner): boolean {
    const endedMs = this.#evidence.endedMs(keyOf(runner))
    return endedMs !== undefined && this.#nowMs() - endedMs < LISTED_WITHIN_MS
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
    // Ends first: an answer is kept only if it clears a feature of an end that is known.
    this.#addEnds(ends.map(({ endedAgoMs, ...end }) => ({ ...end, endedMs: nowMs - endedAgoMs })))
    const cleared = begun.filter(({ featureId, begunAgoMs }) => this.#evidence.addBegun({ featureId, begunMs: nowMs - begunAgoMs }))
    if (cleared.length > 0) this.#store.updateEndsSoon()
    this.#seen.set(host, to)
  }

  /** The platform came back from an older copy. */
  onNewEra (): void {
    this.#store.onNewEra(this.#blocks.all())
  }

  /** Largest share of this host's requests that one block refuses. */
  get largestBlockShare (): number {
    return this.#refusals.largestShare
  }

  sweep (): void {
    this.#evidence.sweep(this.#nowMs())
    for (const block of this.#refusals.sweep(this.#nowMs())) this.#logLargeBlock(block)
  }

  #onProcessEnd (end: ProcessEnd): void {
    this.#logEnd(end)
    const record: EndRecord = {
      process: keyOf(end.runner),
      endedMs: end.endedMs,
      requests: end.requests.filter(({ begun }) => !begun).map(({ featureIds }) => featureIds),
      running: end.requests.filter(({ begun }) => begun).flatMap(({ featureIds }) => featureIds.filter(isRequestKey)),
      inherited: false
    }
    if (!this.#evidence.addEnd(record)) return
    this.#decideSoon()
    this.#store.onOwnEnd(record)
    this.#sendSoon()
  }

  #onUnconfirmedEnd (runner: LocatedRunner, { verdict, basis }: WitnessReport): void {
    const { log, metrics, onPathBroken } = this.parts
    const fields = { runner: runner.id, address: runner.address, basis }
    metrics.unconfirmedEnds.inc({ verdict })
    if (verdict !== EndVerdict.Alive) {
      log.warn('end of a runner is not confirmed', fields)
      return
    }
    log.warn('runner has not ended: another host reaches it', fields)
    onPathBroken(runner)
  }

  #addEnds (ends: EndRecord[]): void {
    const added = ends.filter((end) => this.#evidence.addEnd(end))
    if (added.length === 0) return
    this.#decideSoon()
    this.#store.updateEndsSoon()
  }

  #decideSoon (): void {
    if (this.#stopped || this.#decisionTimer !== undefined) return
    this.#decisionTimer = this.parts.clock.setTimer(DECISION_DELAY_MS, () => {
      this.#decisionTimer = undefined
      this.#blockFeatures()
    })
  }

  /** Blocks features until no more have enough ends against them. */
  #blockFeatures (): void {
    for (let count = 0; count < MAX_BLOCKS_PER_DECISION; count += 1) {
      const decisions = this.#evidence.nextBlocks((featureId) => this.#blocks.isBlocked(featureId))
      if (decisions.length === 0) return
      for (const decision of decisions.slice(0, MAX_BLOCKS_PER_DECISION)) this.#block(decision)
    }
  }

  #block ({ featureId, ends }: BlockDecision): void {
    const reason = isRequestKey(featureId) ? `${ends} runners ended with this request unfinished` : `${ends} runners ended with requests that had the part and had not begun`
    const block = this.#blocks.next(featureId, { blocked: true, sinceMs: this.#nowMs(), reason })
    this.#applyBlock(block, this.parts.host)
    this.#store.writeSoon(block)
  }

  /** An answer speaks against the blocks of these features, and against ends before it. */
  #clear (featureIds: readonly string[], reason: string): void {
    if (this.#evidence.onAnswer(featureIds, this.#nowMs())) this.#store.updateEndsSoon()
    for (const featureId of featureIds) if (this.#blocks.isBlocked(featureId)) this.#lift(featureId, reason)
  }

  #blocked (): string[] {
    return this.#blocks.all().filter(({ blocked }) => blocked).map(({ featureId }) => featureId)
  }

  #lift (featureId: string, reason: string): void {
    const block = this.#blocks.next(featureId, { blocked: false, sinceMs: this.#nowMs(), reason, trials: 0 })
    this.#applyBlock(block, this.parts.host)
    this.#store.writeSoon(block)
    this.#sendSoon()
  }

  #applyBlock (block: FeatureBlock, from: string): void {
    const wasBlocked = this.#blocks.isBlocked(block.featureId)
    if (!this.#blocks.apply(block)) return
    const { featureId, blocked, sinceMs } = block
    if (wasBlocked !== blocked) {
      this.#logBlock(block, from)
      this.#refusals.onChanged(featureId)
    }
    // The ends before no longer count: the next end of any runner would block the part again.
    if (!blocked && this.#evidence.addBegun({ featureId, begunMs: sinceMs })) this.#store.updateEndsSoon()
    if (blocked && !wasBlocked) for (const listener of [...this.#listeners.get(featureId) ?? []]) listener(featureId)
  }

  #blocksOf (requestId: string, featureIds: readonly string[]): FeatureBlock[] {
    return featureIds.flatMap((featureId) => {
      const block = this.#blocks.get(featureId)
      return block === undefined || !block.blocked || this.#trials.get(featureId) === requestId ? [] : [block]
    })
  }

  /** Whether this request is run as the trial of all blocked features that it has. */
  #startTrial (requestId: string, featureIds: readonly string[]): boolean {
    const nowMs = this.#nowMs()
    const blocked = this.#blocksOf(requestId, featureIds)
    if (!this.parts.mayTry() || !blocked.every(({ featureId }) => this.#blocks.isTrialDue(featureId, nowMs, this.#refusals.refusedSinceBlock(featureId)))) return false
    for (const { featureId, trials, reason } of blocked) {
      const block = this.#blocks.next(featureId, { blocked: true, sinceMs: nowMs, reason, trials: trials + 1 })
      this.#blocks.apply(block)
      this.#trials.set(featureId, requestId)
      this.#store.writeSoon(block)
      if (isRequestKey(featureId)) this.parts.log.info('blocked request is tried', { requestId, key: featureId, trials: block.trials })
      else this.parts.log.info('request with a blocked prompt part is tried', { requestId, part: featureId, trials: block.trials })
    }
    return true
  }

  /** The trial that was just made doesn't count. */
  #repeatTrial (featureId: string): void {
    const block = this.#blocks.get(featureId)
    if (block === undefined || !block.blocked) return
    const next = this.#blocks.next(featureId, { blocked: true, sinceMs: this.#nowMs(), reason: block.reason, trials: Math.max(0, block.trials - 1) })
    this.#blocks.apply(next)
    this.#store.writeSoon(next)
  }

  #unwatch (featureId: string, listener: BlockListener): void {
    const listeners = this.#listeners.get(featureId)
    listeners?.delete(listener)
    if (listeners?.size === 0) this.#listeners.delete(featureId)
  }

  /** Several ends at once are sent in one report. */
  #sendSoon (): void {
    if (this.#stopped || this.#urgentTimer !== undefined) return
    this.#urgentTimer = this.parts.clock.setTimer(0, () => {
      this.#urgentTimer = undefined
      this.parts.onUrgent()
    })
  }

  #logBlock ({ featureId, blocked, revision, trials, reason }: FeatureBlock, from: string): void {
    const { log, metrics } = this.parts
    const change = blocked ? 'blocked' : 'lifted'
    const fields = { revision, trials, from, reason, processes: this.#evidence.endsOf(featureId).map(({ process }) => process).join(' ') }
    if (isRequestKey(featureId)) {
      metrics.requestBlockChanges.inc({ change })
      log.warn(blocked ? 'request content is blocked' : 'block of a request content is lifted', { key: featureId, ...fields })
      return
    }
    metrics.partBlockChanges.inc({ change })
    log.warn(blocked ? 'prompt part is blocked' : 'block of a prompt part is lifted', { part: featureId, ...fields })
  }

  #logLargeBlock ({ featureId, ...fields }: LargeBlock): void {
    const feature = isRequestKey(featureId) ? { key: featureId } : { part: featureId }
    this.parts.log.warn('block refuses a large share of the requests', { ...feature, ...fields })
  }

  #logEnd ({ runner, endedMs, requests, confirmedBy }: ProcessEnd): void {
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
      confirmedBy,
      begun: requests.length - waiting.length,
      notBegun: waiting.length,
      requests: waiting.slice(0, MAX_LOGGED_REQUESTS).map(describe).join('; ')
    })
  }

  #nowMs (): number {
    return this.parts.instants.nowMs()
  }
}

function describe ({ requestId, featureIds, attempt }: SentRequest): string {
  return `${requestId} sending ${attempt} key ${featureIds.at(-1)} parts ${featureIds.slice(0, -1).join(',')}`
}
