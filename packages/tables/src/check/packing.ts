/** Fitting copies of models into the memory of runners. */
import { compareText } from '../rows/rows.js'

/** A runner with the memory that is still free. */
export type Bin = { runner: string, freeMiB: number }

/** A copy to place. */
export type Item = { key: string, sizeMiB: number }

/** Result of a packing: the runner of each item, and the items that found none. */
export type Packing = { placed: Map<string, string>, unplaced: Item[] }

/**
 * Places the largest items first, each on the runner where it leaves the least memory free. A heuristic: it may fail
 * to place a set that just fits, and never places one that does not.
 */
export function packItems (items: readonly Item[], bins: readonly Bin[]): Packing {
  const free = bins.map((bin) => ({ ...bin }))
  const placed = new Map<string, string>()
  const unplaced: Item[] = []
  for (const item of sortBySize(items)) {
    const bin = findBestBin(free, item.sizeMiB)
    if (bin === undefined) {
      unplaced.push(item)
      continue
    }
    bin.freeMiB -= item.sizeMiB
    placed.set(item.key, bin.runner)
  }
  return { placed, unplaced }
}

/** Largest first; equal sizes by key. */
export function sortBySize<T extends Item> (items: readonly T[]): T[] {
  return [...items].sort((a, b) => b.sizeMiB - a.sizeMiB || compareText(a.key, b.key))
}

/** The bin that an item leaves with the least free memory; the first of equals. */
export function findBestBin<T extends { freeMiB: number }> (bins: readonly T[], sizeMiB: number): T | undefined {
  let best: T | undefined
  for (const bin of bins) {
    if (bin.freeMiB < sizeMiB) continue
    if (best === undefined || bin.freeMiB < best.freeMiB) best = bin
  }
  return best
}
