import type { CacheEvent, CacheEventPage } from '@figloom/clients'
import { hashText } from './tokens.js'

/** Length of the prefix that is cached, in characters. */
export const PREFIX_CHARACTERS = 256
const KEPT_EVENTS = 4_096

/** The prefix cache of an engine: the latest prefixes, with events that may have gaps. */
export class PrefixCache {
  readonly #prefixes = new Map<string, { model: string, prefixHash: string }>()
  readonly #events: CacheEvent[] = []
  #nextSequence = 1

  private constructor (private readonly capacity: number, private readonly skipEvent: () => boolean) {}

  /** `skipEvent` says for each event whether it is left out. */
  static create (capacity: number, skipEvent: () => boolean): PrefixCache {
    return new PrefixCache(capacity, skipEvent)
  }

  /** Uses a prompt's prefix; returns whether it was cached. */
  use (model: string, prompt: string): boolean {
    const prefixHash = hashText(prompt.slice(0, PREFIX_CHARACTERS))
    const key = `${model}/${prefixHash}`
    const cached = this.#prefixes.delete(key)
    this.#prefixes.set(key, { model, prefixHash })
    if (!cached) this.#note('stored', model, prefixHash)
    if (this.#prefixes.size > this.capacity) this.#evictOldest()
    return cached
  }

  /** Forgets the prefixes of a model that is unloaded. */
  dropModel (model: string): void {
    for (const [key, prefix] of this.#prefixes) if (prefix.model === model) this.#evict(key)
  }

  read (fromSequence: number): CacheEventPage {
    return { events: this.#events.filter((event) => event.sequence >= fromSequence), nextSequence: this.#nextSequence }
  }

  #evictOldest (): void {
    const oldest = this.#prefixes.keys().next().value
    if (oldest !== undefined) this.#evict(oldest)
  }

  #evict (key: string): void {
    const prefix = this.#prefixes.get(key)
    if (prefix === undefined) return
    this.#prefixes.delete(key)
    this.#note('evicted', prefix.model, prefix.prefixHash)
  }

  #note (kind: CacheEvent['kind'], model: string, prefixHash: string): void {
    const sequence = this.#nextSequence++
    if (this.skipEvent()) return
    this.#events.push({ sequence, kind, model, prefixHash })
    if (this.#events.length > KEPT_EVENTS) this.#events.shift()
  }
}
