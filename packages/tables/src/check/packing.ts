/** Bin packing of model copies into the memory of runners. */
import { compareText } from '../rows/rows.js'

/** A runner with its free memory. */
export type PackingBin = { runner: string, freeMiB: number }

/** A copy to place. */
export type PackingItem = { key: string, sizeMiB: number }

/** Result of a packing: the runner of each placed item by key, and the items that fit on no runner. */
export type Packing = { placed: Map<string, string>, unplaced: PackingItem[] }

/**
 * Best fit decreasing: places the largest items first, each on the runner where it leaves the least memory free. As a
 * heuristic it may fail on a set of items that just fits, but it never exceeds the memory of a runner.
 */
export function packItems (items: readonly PackingItem[], bins: readonly PackingBin[]): Packing {
  const free = bins.map((bin) => ({ ...bin }))
  const placed = new Map<string, string>()
  const unplaced: PackingItem[] = []
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

/** Sorts items by size, largest first, and equal sizes by key. */
export function sortBySize<T extends PackingItem> (items: readonly T[]): T[] {
  return [...items].sort((a, b) => b.sizeMiB - a.sizeMiB || compareText(a.key, b.key))
}

/** The bin with the least free memory among those that an item fits in; on a tie, the first one. */
export function findBestBin<T extends { freeMiB: number }> (bins: readonly T[], sizeMiB: number): T | undefined {
  let best: T | undefined
  for (const bin of bins) {
    if (bin.freeMiB < sizeMiB) continue
    if (best === undefined || bin.freeMiB < best.freeMiB) best = bin
  }
  return best
}
