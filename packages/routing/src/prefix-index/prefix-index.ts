/** Expected contents of each runner's prefix cache, derived from events that may be late or missing. */

/** A change in an engine's prefix cache. */
export type PrefixEvent = { sequence: number, kind: 'stored' | 'evicted', model: string, prefixHash: string }

type Entry = { stored: boolean, sequence: number, gaps: number }
type RunnerCache = { lastSequence: number, gaps: number, entries: Map<string, Entry> }

const MAX_ENTRIES_PER_RUNNER = 4096
/** Factor by which each later gap in the events lowers the confidence in an entry. */
const GAP_CONFIDENCE = 0.5
/** Sequence number of an entry that is assumed from a sent request and not reported by an event. */
const ASSUMED_SEQUENCE = -1

/** Prefix index by runner. A runner with the maximum number of entries loses its oldest one. */
export class PrefixIndex {
  readonly #runners = new Map<string, RunnerCache>()

  static create (): PrefixIndex {
    return new PrefixIndex()
  }

  /** Applies events of one runner, in any order. An event never overrides one with a higher sequence number. */
  onEvents (runner: string, events: readonly PrefixEvent[]): void {
    const cache = this.#cacheOf(runner)
    for (const event of events) applyEvent(cache, event)
  }

  /** Assumes that a runner caches the prefixes of a request sent to it, until an event reports otherwise. */
  onSent (runner: string, keys: readonly string[]): void {
    const cache = this.#cacheOf(runner)
    for (const key of keys) {
      const sequence = cache.entries.get(key)?.sequence ?? ASSUMED_SEQUENCE
      storeEntry(cache, key, { stored: true, sequence, gaps: cache.gaps })
    }
  }

  /** Removes the entries of a runner whose engine was replaced or that has left. */
  reset (runner: string): void {
    this.#runners.delete(runner)
  }

  /** Expected fraction of the prompt's hashed prefix that the runner has cached, 0 to 1. */
  expectedShare (runner: string, keys: readonly string[]): number {
    const cache = this.#runners.get(runner)
    if (cache === undefined) return 0
    for (let length = keys.length; length > 0; length--) {
      const entry = cache.entries.get(keys[length - 1] ?? '')
      if (entry?.stored === true) return length / keys.length * GAP_CONFIDENCE ** (cache.gaps - entry.gaps)
    }
    return 0
  }

  /** Number of entries kept for a runner. */
  sizeOf (runner: string): number {
    return this.#runners.get(runner)?.entries.size ?? 0
  }

  #cacheOf (runner: string): RunnerCache {
    const existing = this.#runners.get(runner)
    if (existing !== undefined) return existing
    const cache = { lastSequence: -1, gaps: 0, entries: new Map<string, Entry>() }
    this.#runners.set(runner, cache)
    return cache
  }
}

function applyEvent (cache: RunnerCache, event: PrefixEvent): void {
  if (cache.lastSequence >= 0 && event.sequence > cache.lastSequence + 1) cache.gaps += 1
  cache.lastSequence = Math.max(cache.lastSequence, event.sequence)
  const key = entryKey(event.model, event.prefixHash)
  if ((cache.entries.get(key)?.sequence ?? ASSUMED_SEQUENCE) > event.sequence) return
  storeEntry(cache, key, { stored: event.kind === 'stored', sequence: event.sequence, gaps: cache.gaps })
}

/** Stores an entry as the newest one. Evicted prefixes are kept as tombstones, so that a late event cannot restore them. */
function storeEntry (cache: RunnerCache, key: string, entry: Entry): void {
  cache.entries.delete(key)
  cache.entries.set(key, entry)
  if (cache.entries.size <= MAX_ENTRIES_PER_RUNNER) return
  const oldest = cache.entries.keys().next()
  if (oldest.done !== true) cache.entries.delete(oldest.value)
}

/** Keys of a prompt's prefixes in the index, shortest first. */
export function prefixKeys (model: string, prefixHashes: readonly string[]): string[] {
  return prefixHashes.map((hash) => entryKey(model, hash))
}

function entryKey (model: string, hash: string): string {
  return `${model} ${hash}`
}
