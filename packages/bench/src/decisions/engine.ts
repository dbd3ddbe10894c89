/**
 * Simulated engine. Continuous batching is modelled as a continuous flow: between two changes of the batch every request
 * advances at a constant rate. Prefix cache and KV memory are bounded.
 */
import TinyQueue from 'tinyqueue'
import { Priority, type PoolModel, type Runner } from '@figloom/tables'
import { BLOCK_TOKENS } from './demand.js'
import type { Timeline } from './timeline.js'

/** One attempt to run a request on the engine. */
export type EngineJob = {
  id: string
  model: string
  priority: Priority
  promptTokens: number
  outputTokens: number
  prefixHashes: readonly string[]
  onFirstToken: () => void
  onDone: () => void
  onFailed: () => void
}

type Job = EngineJob & { kvMiB: number, prefillTokensLeft: number, finishStep: number, phase: 'waiting' | 'prefill' | 'decode' | 'ended' }
type Copy = { spec: PoolModel, adapters: Set<string>, kvUsedMiB: number, waiting: Job[], decoding: number }

export type CacheEvent = { sequence: number, kind: 'stored' | 'evicted', model: string, prefixHash: string }

/** Prompt tokens that one batch step prefills. */
const PREFILL_CHUNK_TOKENS = 256
const REFERENCE_WEIGHTS_MIB = 16384
/** Duration of a step for a model of the reference weights: reading the weights, plus each decoding request, plus each prompt token. */
const WEIGHTS_READ_MS = 2.4
const DECODE_MS_PER_REQUEST = 0.12
const PREFILL_MS_PER_TOKEN = 0.035
const KV_MIB_PER_TOKEN = 0.14
const CACHE_CAPACITY_BLOCKS = 1_000

export class Engine {
  readonly copies = new Map<string, Copy>()
  readonly cacheEvents: CacheEvent[] = []
  alive = true
  /** Factor by which steps take longer; infinite for a hung engine. */
  slowdownFactor = 1
  #completedSteps = 0
  #updatedMs = 0
  #scheduleVersion = 0
  #sequence = 0
  readonly #jobs = new Map<string, Job>()
  #prefill: Job[] = []
  readonly #decode = new TinyQueue<Job>([], (a, b) => a.finishStep - b.finishStep)
  /** Model of each cached prefix hash, least recently used first. No hash occurs for two models. */
  readonly #cache = new Map<string, string>()

  private constructor (readonly runner: Runner, private readonly timeline: Timeline) {}

  static create (runner: Runner, timeline: Timeline): Engine {
    return new Engine(runner, timeline)
  }

  get usedMiB (): number {
    let used = 0
    for (const { spec, adapters } of this.copies.values()) {
      used += spec.weightsMiB + spec.kvReserveMiB
      for (const adapter of spec.adapters) if (adapters.has(adapter.name)) used += adapter.sizeMiB
    }
    return used
  }

  get running (): number {
    return this.#jobs.size
  }

  /** Output tokens that an attempt has produced so far; 0 before the first token and after the end of the attempt. */
  deliveredTokens (id: string): number {
    const job = this.#jobs.get(id)
    if (job === undefined || job.phase !== 'decode') return 0
    this.#advance()
    return Math.max(1, Math.floor(job.outputTokens - (job.finishStep - this.#completedSteps)))
  }

  /** Number of attempts on the copy of a model, the queued ones included. */
  countJobs (model: string): number {
    let count = 0
    for (const job of this.#jobs.values()) if (job.model === model) count += 1
    return count
  }

  submit (job: EngineJob): void {
    const copy = this.copies.get(job.model)
    if (!this.alive || copy === undefined) return job.onFailed()
    this.#advance()
    const kvMiB = (job.promptTokens + job.outputTokens) * KV_MIB_PER_TOKEN * weightScale(copy.spec)
    const queued: Job = { ...job, kvMiB: Math.min(kvMiB, copy.spec.kvReserveMiB), prefillTokensLeft: 0, finishStep: 0, phase: 'waiting' }
    this.#jobs.set(job.id, queued)
    insertByPriority(copy.waiting, queued)
    this.#admit(copy)
    this.#schedule()
  }

  cancel (id: string): void {
    const job = this.#jobs.get(id)
    if (job === undefined) return
    this.#advance()
    this.#end(job)
    this.#schedule()
  }

  /** Simulates a crash of the engine's process: every attempt fails. */
  crash (): void {
    this.alive = false
    const jobs = [...this.#jobs.values()]
    this.#jobs.clear()
    this.copies.clear()
    this.#prefill = []
    this.#scheduleVersion += 1
    for (const job of jobs) {
      job.phase = 'ended'
      job.onFailed()
    }
  }

  setSlowdown (factor: number): void {
    this.#advance()
    this.slowdownFactor = factor
    this.#schedule()
  }

  load (spec: PoolModel): void {
    this.copies.set(spec.name, { spec, adapters: new Set(), kvUsedMiB: 0, waiting: [], decoding: 0 })
  }

  /** Unloads a copy; attempts that still use it fail. */
  unload (model: string): void {
    this.#advance()
    for (const job of [...this.#jobs.values()].filter((job) => job.model === model)) {
      this.#end(job)
      job.onFailed()
    }
    this.copies.delete(model)
    this.#schedule()
  }

  #stepDurationMs (): number {
    let durationMs = 0
    for (const copy of this.copies.values()) {
      if (copy.decoding > 0) durationMs += (WEIGHTS_READ_MS + DECODE_MS_PER_REQUEST * copy.decoding) * weightScale(copy.spec)
    }
    const head = this.#prefill[0]
    if (head !== undefined) durationMs += PREFILL_CHUNK_TOKENS * PREFILL_MS_PER_TOKEN * this.#weightScaleFor(head)
    return Math.max(1, durationMs) * this.slowdownFactor
  }

  #weightScaleFor (job: Job): number {
    const spec = this.copies.get(job.model)?.spec
    return spec === undefined ? 1 : weightScale(spec)
  }

  #advance (): void {
    const elapsedMs = this.timeline.nowMs - this.#updatedMs
    this.#updatedMs = this.timeline.nowMs
    if (elapsedMs <= 0) return
    const steps = elapsedMs / this.#stepDurationMs()
    this.#completedSteps += steps
    const head = this.#prefill[0]
    if (head !== undefined) head.prefillTokensLeft -= steps * PREFILL_CHUNK_TOKENS
  }

  #schedule (): void {
    this.#scheduleVersion += 1
    const version = this.#scheduleVersion
    const next = this.#stepsUntilNextChange()
    if (next === Infinity || this.slowdownFactor === Infinity) return
    this.timeline.runAfter(Math.max(0, next) * this.#stepDurationMs() + 1e-6, () => {
      if (version === this.#scheduleVersion) this.#processDue()
    })
  }

  #stepsUntilNextChange (): number {
    while (this.#decode.peek()?.phase === 'ended') this.#decode.pop()
    const finish = this.#decode.peek()
    const head = this.#prefill[0]
    return Math.min(finish === undefined ? Infinity : finish.finishStep - this.#completedSteps, head === undefined ? Infinity : head.prefillTokensLeft / PREFILL_CHUNK_TOKENS)
  }

  #processDue (): void {
    this.#advance()
    const head = this.#prefill[0]
    if (head !== undefined && head.prefillTokensLeft <= 1e-6) this.#startDecode(head)
    for (let job = this.#decode.peek(); job !== undefined && job.finishStep <= this.#completedSteps + 1e-6; job = this.#decode.peek()) {
      this.#decode.pop()
      if (job.phase === 'ended') continue
      this.#end(job)
      job.onDone()
    }
    this.#schedule()
  }

  #startDecode (job: Job): void {
    this.#prefill.shift()
    this.#cachePrefix(job)
    job.phase = 'decode'
    job.finishStep = this.#completedSteps + job.outputTokens - 1
    const copy = this.copies.get(job.model)
    if (copy !== undefined) copy.decoding += 1
    this.#decode.push(job)
    job.onFirstToken()
  }

  /** Moves queued requests into the batch as long as the copy has KV memory for them. */
  #admit (copy: Copy): void {
    for (let job = copy.waiting[0]; job !== undefined && copy.kvUsedMiB + job.kvMiB <= copy.spec.kvReserveMiB; job = copy.waiting[0]) {
      copy.waiting.shift()
      copy.kvUsedMiB += job.kvMiB
      job.phase = 'prefill'
      job.prefillTokensLeft = Math.max(1, job.promptTokens - this.#cachedBlocks(job) * BLOCK_TOKENS)
      insertByPriority(this.#prefill, job, 1)
    }
  }

  #end (job: Job): void {
    this.#jobs.delete(job.id)
    const copy = this.copies.get(job.model)
    if (copy === undefined) return
    if (job.phase === 'waiting') copy.waiting = copy.waiting.filter((other) => other !== job)
    if (job.phase === 'prefill') this.#prefill = this.#prefill.filter((other) => other !== job)
    if (job.phase === 'decode') copy.decoding -= 1
    if (job.phase !== 'waiting') copy.kvUsedMiB -= job.kvMiB
    job.phase = 'ended'
    this.#admit(copy)
  }

  #cachedBlocks (job: Job): number {
    let blocks = 0
    while (blocks < job.prefixHashes.length && this.#cache.has(job.prefixHashes[blocks] ?? '')) blocks += 1
    return blocks
  }

  #cachePrefix (job: Job): void {
    for (const hash of job.prefixHashes) {
      if (!this.#cache.delete(hash)) this.#recordCacheEvent('stored', job.model, hash)
      this.#cache.set(hash, job.model)
    }
    while (this.#cache.size > CACHE_CAPACITY_BLOCKS) this.#evictOldest()
  }

  #evictOldest (): void {
    const [hash, model] = this.#cache.entries().next().value as [string, string]
    this.#cache.delete(hash)
    this.#recordCacheEvent('evicted', model, hash)
  }

  #recordCacheEvent (kind: CacheEvent['kind'], model: string, prefixHash: string): void {
    this.cacheEvents.push({ sequence: this.#sequence++, kind, model: `${model}@1`, prefixHash })
  }
}

function weightScale (spec: PoolModel): number {
  return spec.weightsMiB / REFERENCE_WEIGHTS_MIB
}

/** Inserts a job after the others of its priority, but not before index `from`: the jobs in front of it have started. */
function insertByPriority (queue: Job[], job: Job, from = 0): void {
  if (job.priority === Priority.Batch) {
    queue.push(job)
    return
  }
  const at = queue.findIndex((other, index) => index >= from && other.priority === Priority.Batch)
  queue.splice(at < 0 ? queue.length : at, 0, job)
}
