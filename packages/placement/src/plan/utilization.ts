/** How much work each runner gets when routing spreads the demand of each model over its copies. */
import type { Draft, DraftCopy, DraftRunner } from './draft.js'

/** Work of each runner and of each model on it, in runners (1: a runner fully used). */
export class Utilization {
  readonly #total = new Map<DraftRunner, number>()
  readonly #parts = new Map<DraftCopy, number>()

  private constructor (private readonly draft: Draft, private readonly work: ReadonlyMap<string, number>) {}

  /** Levels the work of every model over its copies, those with the fewest copies first. */
  static create (draft: Draft, work: ReadonlyMap<string, number>): Utilization {
    const utilization = new Utilization(draft, work)
    const models = draft.models.filter(({ key }) => draft.copiesOf(key).length > 0)
    models.sort((a, b) => draft.copiesOf(a.key).length - draft.copiesOf(b.key).length || compareText(a.key, b.key))
    for (const { key } of models) utilization.#spread(key)
    for (const { key } of models) utilization.respread(key)
    return utilization
  }

  of (runner: DraftRunner): number {
    return this.#total.get(runner) ?? 0
  }

  partOf (copy: DraftCopy): number {
    return this.#parts.get(copy) ?? 0
  }

  /** Spreads one model's work again, after its copies changed. */
  respread (key: string): void {
    for (const copy of this.draft.copiesOf(key)) this.#set(copy, 0)
    this.#spread(key)
  }

  /** Takes out what a copy that goes was given. */
  remove (copy: DraftCopy): void {
    this.#set(copy, 0)
  }

  #spread (key: string): void {
    const copies = [...this.draft.copiesOf(key)].sort((a, b) => this.of(a.runner) - this.of(b.runner))
    const level = levelFor(copies.map((copy) => this.of(copy.runner)), this.work.get(key) ?? 0)
    for (const copy of copies) this.#set(copy, Math.max(0, level - this.of(copy.runner)))
  }

  #set (copy: DraftCopy, part: number): void {
    this.#total.set(copy.runner, this.of(copy.runner) - this.partOf(copy) + part)
    this.#parts.set(copy, part)
  }
}

/** Level to which `work` fills the ascending `heights`. */
export function levelFor (heights: readonly number[], work: number): number {
  let sum = work
  for (let count = 1; count <= heights.length; count++) {
    sum += heights[count - 1] ?? 0
    const level = sum / count
    if (count === heights.length || level <= (heights[count] ?? Infinity)) return level
  }
  return 0
}

const COMFORT = 0.35
/** Growth of the missed work beyond a full runner, so that levelling two overfull runners still gains. */
const OVERLOAD_GROWTH = 0.1

/** Work that misses its targets at a utilization, in runners: none below the comfortable level, all of what exceeds 1. */
export function missedWork (utilization: number): number {
  if (utilization <= COMFORT) return 0
  const excess = utilization - 1
  if (excess >= 0) return (1 - COMFORT) / 2 + excess + OVERLOAD_GROWTH * excess ** 2
  return (utilization - COMFORT) ** 2 / (2 * (1 - COMFORT))
}

export function compareText (a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0
}
