/** Rendezvous hashing (highest random weight): an item stays the choice for a key until it is removed or outweighed by a new one. Pure. */

const HASH_RANGE = 2 ** 32

/** The item with the highest weight for a key; undefined if there are no items. */
export function pickByWeight<Item extends { id: string }> (key: string, items: readonly Item[]): Item | undefined {
  let best: Item | undefined
  let bestWeight = -1
  for (const item of items) {
    const weight = hashOf(`${key}\n${item.id}`)
    if (weight > bestWeight) {
      best = item
      bestWeight = weight
    }
  }
  return best
}

/**
 * Like `pickByWeight` with keys that prefer items in proportion to their shares; the same choice if all shares are equal.
 * @param shareOf positive
 */
export function pickByShare<Item extends { id: string }> (key: string, items: readonly Item[], shareOf: (item: Item) => number): Item | undefined {
  let best: Item | undefined
  let bestScore = -Infinity
  for (const item of items) {
    const score = Math.log(rankOf(key, item.id)) / shareOf(item)
    if (score > bestScore) {
      best = item
      bestScore = score
    }
  }
  return best
}

/** A number between 0 and 1 that key and id determine, evenly spread. */
export function rankOf (key: string, id: string): number {
  return (hashOf(`${key}\n${id}`) + 0.5) / HASH_RANGE
}

/** FNV-1a over the characters with a final mix, 32 bits. */
export function hashOf (text: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
