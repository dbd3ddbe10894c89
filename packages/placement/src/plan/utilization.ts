/** Expected utilization of each runner when routing spreads the demand for each model over its copies. */
import type { Draft, DraftCopy, DraftRunner } from './draft.js'

/** Work of each runner and of each copy on it, as a fraction of a runner (1: fully used). */
export class Utilization {
  readonly #total = new Map<DraftRunner, number>()
  readonly #parts = new Map<DraftCopy, number>()

  private constructor (private readonly draft: Draft, private readonly work: ReadonlyMap<string, number>) {}

  /** Spreads the work of every model evenly over the runners of its copies, starting with the models with the fewest copies. */
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

  /** Spreads one model's work again after its copies changed. */
  respread (key: string): void {
    for (const copy of this.draft.copiesOf(key)) this.#set(copy, 0)
    this.#spread(key)
  }

  /** Removes the work of a copy that will be unloaded. */
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

/** Water-filling: the common level that the runners reach when `work` is added to the least used ones. `utilizations` is ascending. */
export function levelFor (utilizations: readonly number[], work: number): number {
  let sum = work
  for (let count = 1; count <= utilizations.length; count++) {
    sum += utilizations[count - 1] ?? 0
    const level = sum / count
    if (count === utilizations.length || level <= (utilizations[count] ?? Infinity)) return level
  }
  return 0
}

/** Utilization up to which all work meets its latency targets. */
const TARGET_UTILIZATION = 0.35
/** Growth of the missed work above utilization 1, so that evening out two overloaded runners still counts as a gain. */
const OVERLOAD_GROWTH = 0.1

/** Estimated work that misses its latency targets at a utilization, in runners: none up to the target, and all that exceeds 1. */
export function missedWork (utilization: number): number {
  if (utilization <= TARGET_UTILIZATION) return 0
  const excess = utilization - 1
  if (excess >= 0) return (1 - TARGET_UTILIZATION) / 2 + excess + OVERLOAD_GROWTH * excess ** 2
  return (utilization - TARGET_UTILIZATION) ** 2 / (2 * (1 - TARGET_UTILIZATION))
}

export function compareText (a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0
}
