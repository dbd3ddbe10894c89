/** Fake engine: continuous batching as a fluid, prefix cache and KV memory with limits, lagged reports. */
import TinyQueue from 'tinyqueue'
import { Priority, type PoolModel, type Runner } from '@figloom/tables'
import { BLOCK_TOKENS } from './demand.js'
import type { Timeline } from './timeline.js'

/** One attempt at an engine. */
export type EngineJob = {
  id: string
  model: string
  priority: Priority
  promptTokens: number
  outputTokens: number
  prefixHashes: readonly string[]
  onFirst: () => void
  onDone: () => void
  onFailed: () => void
}

type Job = EngineJob & { kvMiB: number, prefillLeft: number, finishAt: number, phase: 'waiting' | 'prefill' | 'decode' | 'ended' }
type Copy = { spec: PoolModel, adapters: Set<string>, kvUsedMiB: number, waiting: Job[], decoding: number }

export type CacheEvent = { sequence: number, kind: 'stored' | 'evicted', model: string, prefixHash: string }

/** Prompt tokens that one batch step takes in. */
const CHUNK_TOKENS = 256
const REFERENCE_WEIGHTS_MIB = 16384
/** Per step: reading the weights of an active model, each decoding request, each prompt token; for reference weights. */
const READ_MS = 2.4
const DECODE_MS = 0.12
const PROMPT_TOKEN_MS = 0.035
const KV_MIB_PER_TOKEN = 0.14
const CACHE_BLOCKS = 1_000

export class Engine {
  readonly copies = new Map<string, Copy>()
  readonly cacheEvents: CacheEvent[] = []
  alive = true
  /** Factor by which steps take longer; infinite for an engine that hangs. */
  slowness = 1
  #progress = 0
  #updatedMs = 0
  #version = 0
  #sequence = 0
  readonly #jobs = new Map<string, Job>()
  #prefill: Job[] = []
  readonly #decode = new TinyQueue<Job>([], (a, b) => a.finishAt - b.finishAt)
  /** Model by prefix hash, least recently used first; hashes of different models differ. */
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

  /** Tokens that an attempt has delivered; 0 before the first and after its end. */
  tokensOf (id: string): number {
    const job = this.#jobs.get(id)
    if (job === undefined || job.phase !== 'decode') return 0
    this.#advance()
    return Math.max(1, Math.floor(job.outputTokens - (job.finishAt - this.#progress)))
  }

  /** Attempts that use a copy. */
  jobsOf (model: string): number {
    let count = 0
    for (const job of this.#jobs.values()) if (job.model === model) count += 1
    return count
  }

  submit (job: EngineJob): void {
    const copy = this.copies.get(job.model)
    if (!this.alive || copy === undefined) return job.onFailed()
    this.#advance()
    const kvMiB = (job.promptTokens + job.outputTokens) * KV_MIB_PER_TOKEN * scaleOf(copy.spec)
    const entry: Job = { ...job, kvMiB: Math.min(kvMiB, copy.spec.kvReserveMiB), prefillLeft: 0, finishAt: 0, phase: 'waiting' }
    this.#jobs.set(job.id, entry)
    insertByPriority(copy.waiting, entry)
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

  /** The engine's process dies: every attempt breaks off. */
  die (): void {
    this.alive = false
    const jobs = [...this.#jobs.values()]
    this.#jobs.clear()
    this.copies.clear()
    this.#prefill = []
    this.#version += 1
    for (const job of jobs) {
      job.phase = 'ended'
      job.onFailed()
    }
  }

  setSlowness (factor: number): void {
    this.#advance()
    this.slowness = factor
    this.#schedule()
  }

  load (spec: PoolModel): void {
    this.copies.set(spec.name, { spec, adapters: new Set(), kvUsedMiB: 0, waiting: [], decoding: 0 })
  }

  /** Unloads a copy; attempts that run there break off. */
  unload (model: string): void {
    this.#advance()
    for (const job of [...this.#jobs.values()].filter((job) => job.model === model)) {
      this.#end(job)
      job.onFailed()
    }
    this.copies.delete(model)
    this.#schedule()
  }

  #cycleMs (): number {
    let cycle = 0
    for (const copy of this.copies.values()) {
      if (copy.decoding > 0) cycle += (READ_MS + DECODE_MS * copy.decoding) * scaleOf(copy.spec)
    }
    const head = this.#prefill[0]
    if (head !== undefined) cycle += CHUNK_TOKENS * PROMPT_TOKEN_MS * this.#scaleFor(head)
    return Math.max(1, cycle) * this.slowness
  }

  #scaleFor (job: Job): number {
    const spec = this.copies.get(job.model)?.spec
    return spec === undefined ? 1 : scaleOf(spec)
  }

  #advance (): void {
    const elapsedMs = this.timeline.nowMs - this.#updatedMs
    this.#updatedMs = this.timeline.nowMs
    if (elapsedMs <= 0) return
    const steps = elapsedMs / this.#cycleMs()
    this.#progress += steps
    const head = this.#prefill[0]
    if (head !== undefined) head.prefillLeft -= steps * CHUNK_TOKENS
  }

  #schedule (): void {
    this.#version += 1
    const version = this.#version
    const next = this.#nextSteps()
    if (next === Infinity || this.slowness === Infinity) return
    this.timeline.after(Math.max(0, next) * this.#cycleMs() + 1e-6, () => {
      if (version === this.#version) this.#turn()
    })
  }

  #nextSteps (): number {
    while (this.#decode.peek()?.phase === 'ended') this.#decode.pop()
    const finish = this.#decode.peek()
    const head = this.#prefill[0]
    return Math.min(finish === undefined ? Infinity : finish.finishAt - this.#progress, head === undefined ? Infinity : head.prefillLeft / CHUNK_TOKENS)
  }

  #turn (): void {
    this.#advance()
    const head = this.#prefill[0]
    if (head !== undefined && head.prefillLeft <= 1e-6) this.#startDecode(head)
    for (let job = this.#decode.peek(); job !== undefined && job.finishAt <= this.#progress + 1e-6; job = this.#decode.peek()) {
      this.#decode.pop()
      if (job.phase === 'ended') continue
      this.#end(job)
      job.onDone()
    }
    this.#schedule()
  }

  #startDecode (job: Job): void {
    this.#prefill.shift()
    this.#keepPrefix(job)
    job.phase = 'decode'
    job.finishAt = this.#progress + job.outputTokens - 1
    const copy = this.copies.get(job.model)
    if (copy !== undefined) copy.decoding += 1
    this.#decode.push(job)
    job.onFirst()
  }

  /** Moves waiting requests into the batch while the copy's KV memory lasts. */
  #admit (copy: Copy): void {
    for (let job = copy.waiting[0]; job !== undefined && copy.kvUsedMiB + job.kvMiB <= copy.spec.kvReserveMiB; job = copy.waiting[0]) {
      copy.waiting.shift()
      copy.kvUsedMiB += job.kvMiB
      job.phase = 'prefill'
      job.prefillLeft = Math.max(1, job.promptTokens - this.#cachedBlocks(job) * BLOCK_TOKENS)
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

  #keepPrefix (job: Job): void {
    for (const hash of job.prefixHashes) {
      if (!this.#cache.delete(hash)) this.#note('stored', job.model, hash)
      this.#cache.set(hash, job.model)
    }
    while (this.#cache.size > CACHE_BLOCKS) this.#evictOldest()
  }

  #evictOldest (): void {
    const [hash, model] = this.#cache.entries().next().value as [string, string]
    this.#cache.delete(hash)
    this.#note('evicted', model, hash)
  }

  #note (kind: CacheEvent['kind'], model: string, prefixHash: string): void {
    this.cacheEvents.push({ sequence: this.#sequence++, kind, model: `${model}@1`, prefixHash })
  }
}

function scaleOf (spec: PoolModel): number {
  return spec.weightsMiB / REFERENCE_WEIGHTS_MIB
}

/** Inserts a job behind those of its own priority; `from` keeps the jobs at the front that have started. */
function insertByPriority (queue: Job[], job: Job, from = 0): void {
  if (job.priority === Priority.Batch) {
    queue.push(job)
    return
  }
  const at = queue.findIndex((other, index) => index >= from && other.priority === Priority.Batch)
  queue.splice(at < 0 ? queue.length : at, 0, job)
}
