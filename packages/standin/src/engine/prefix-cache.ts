import type { CacheEvent, CacheEventPage } from '@figloom/clients'
import { hashText } from './tokens.js'

/** Length of a cached prefix, in characters. */
export const PREFIX_CHARACTERS = 256
const MAX_STORED_EVENTS = 4_096

/** Simulated prefix cache of an engine: an LRU cache of prompt prefixes that records an event for each change. */
export class PrefixCache {
  readonly #prefixes = new Map<string, { model: string, prefixHash: string }>()
  readonly #events: CacheEvent[] = []
  #nextSequence = 1

  private constructor (private readonly capacity: number, private readonly shouldSkipEvent: () => boolean) {}

  /** `shouldSkipEvent` is called for each event; the event is omitted if it returns true. */
  static create (capacity: number, shouldSkipEvent: () => boolean): PrefixCache {
    return new PrefixCache(capacity, shouldSkipEvent)
  }

  /** Marks the prefix of a prompt as the most recently used, and caches it if needed; returns whether it was cached. */
  recordUse (model: string, prompt: string): boolean {
    const prefixHash = hashText(prompt.slice(0, PREFIX_CHARACTERS))
    const key = `${model}/${prefixHash}`
    const cached = this.#prefixes.delete(key)
    this.#prefixes.set(key, { model, prefixHash })
    if (!cached) this.#recordEvent('stored', model, prefixHash)
    if (this.#prefixes.size > this.capacity) this.#evictLeastRecent()
    return cached
  }

  /** Evicts all prefixes of a model. */
  evictModel (model: string): void {
    for (const [key, prefix] of this.#prefixes) if (prefix.model === model) this.#evict(key)
  }

  readEvents (fromSequence: number): CacheEventPage {
    return { events: this.#events.filter((event) => event.sequence >= fromSequence), nextSequence: this.#nextSequence }
  }

  #evictLeastRecent (): void {
    const oldest = this.#prefixes.keys().next().value
    if (oldest !== undefined) this.#evict(oldest)
  }

  #evict (key: string): void {
    const prefix = this.#prefixes.get(key)
    if (prefix === undefined) return
    this.#prefixes.delete(key)
    this.#recordEvent('evicted', prefix.model, prefix.prefixHash)
  }

  #recordEvent (kind: CacheEvent['kind'], model: string, prefixHash: string): void {
    const sequence = this.#nextSequence++
    if (this.shouldSkipEvent()) return
    this.#events.push({ sequence, kind, model, prefixHash })
    if (this.#events.length > MAX_STORED_EVENTS) this.#events.shift()
  }
}
