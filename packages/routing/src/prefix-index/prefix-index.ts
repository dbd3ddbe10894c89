/** What each runner's prefix cache should hold, from events that come late and with gaps. */

/** A change of an engine's prefix cache. */
export type PrefixEvent = { sequence: number, kind: 'stored' | 'evicted', model: string, prefixHash: string }

type Entry = { stored: boolean, sequence: number, gaps: number }
type RunnerCache = { lastSequence: number, gaps: number, entries: Map<string, Entry> }

const MAX_ENTRIES_PER_RUNNER = 4096
/** Belief in an entry after each gap in the events behind it. */
const GAP_CONFIDENCE = 0.5
/** Sequence of an entry that is assumed because a request was sent, not reported. */
const ASSUMED = -1

/** Index by runner; the oldest entries go first when a runner's share is full. */
export class PrefixIndex {
  readonly #runners = new Map<string, RunnerCache>()

  static create (): PrefixIndex {
    return new PrefixIndex()
  }

  /** Takes in events of one runner, in any order. A lower sequence number never undoes a higher one. */
  onEvents (runner: string, events: readonly PrefixEvent[]): void {
    const cache = this.#cacheOf(runner)
    for (const event of events) applyEvent(cache, event)
  }

  /** Assumes that a runner keeps the prefixes of a request sent to it, until its events say otherwise. */
  onSent (runner: string, keys: readonly string[]): void {
    const cache = this.#cacheOf(runner)
    for (const key of keys) {
      const sequence = cache.entries.get(key)?.sequence ?? ASSUMED
      remember(cache, key, { stored: true, sequence, gaps: cache.gaps })
    }
  }

  /** Forgets a runner whose engine was replaced. */
  reset (runner: string): void {
    this.#runners.delete(runner)
  }

  /** Expected part of the prompt's hashed prefix that the runner holds, 0 to 1. */
  expectedShare (runner: string, keys: readonly string[]): number {
    const cache = this.#runners.get(runner)
    if (cache === undefined) return 0
    for (let length = keys.length; length > 0; length--) {
      const entry = cache.entries.get(keys[length - 1] ?? '')
      if (entry?.stored === true) return length / keys.length * GAP_CONFIDENCE ** (cache.gaps - entry.gaps)
    }
    return 0
  }

  /** Entries kept for a runner. */
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
  if ((cache.entries.get(key)?.sequence ?? ASSUMED) > event.sequence) return
  remember(cache, key, { stored: event.kind === 'stored', sequence: event.sequence, gaps: cache.gaps })
}

/** Stores an entry as the newest one. Evicted prefixes are kept as marks, so that a late event cannot bring them back. */
function remember (cache: RunnerCache, key: string, entry: Entry): void {
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
