/** Hash functions for choices that must be the same on every host: rendezvous hashing of hosts, streams and cells. */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** 32-bit hash of a text: FNV-1a with a finalizer. Must not change, since hosts of all releases must get the same value. */
export function hash32 (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** Orders items by their weight for a subject, highest first. Removing an item doesn't change the order of the others. */
export function rankByRendezvous<Item> (subject: string, items: readonly Item[], nameOf: (item: Item) => string): Item[] {
  return items
    .map((item) => ({ item, name: nameOf(item), weight: hash32(`${nameOf(item)}\n${subject}`) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ item }) => item)
}
