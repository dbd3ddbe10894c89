/** Plans a copy of every routed model, and a second one in another availability zone if memory allows. */
import type { Draft, DraftCopy, DraftRunner, RoutedModel } from './draft.js'
import { compareText } from './utilization.js'

/** Expected work of each model by key, as a number of fully used runners. */
export type WorkByModel = ReadonlyMap<string, number>

/** Loads models that have no copy. If no runner has enough free memory, unloads spare copies of other models. */
export function coverEveryModel (draft: Draft, work: WorkByModel): void {
  const missing = draft.models.filter(({ key }) => draft.copiesOf(key).length === 0)
  missing.sort((a, b) => b.sizeMiB - a.sizeMiB || compareText(a.key, b.key))
  const targets = LoadTargetSelector.create(draft, work)
  for (const model of missing) {
    const runner = targets.best(draft.runners.filter((runner) => draft.fits(runner, model)))
    if (runner === undefined) unloadSpareCopies(draft, model, draft.runners)
    else if (draft.load(runner, model, 'no copy')) targets.onLoad(runner, model)
  }
}

/** Loads a second copy in another availability zone for models whose copies are all in one. */
export function coverTwoZones (draft: Draft, work: WorkByModel): void {
  const single = draft.models.filter(({ key }) => draft.copiesOf(key).length > 0 && draft.zonesOf(key).size === 1)
  single.sort((a, b) => (work.get(b.key) ?? 0) - (work.get(a.key) ?? 0) || a.sizeMiB - b.sizeMiB || compareText(a.key, b.key))
  const targets = LoadTargetSelector.create(draft, work)
  for (const model of single) {
    const [zone] = draft.zonesOf(model.key)
    const others = draft.runners.filter((runner) => runner.view.availabilityZone !== zone)
    const runner = targets.best(others.filter((runner) => draft.fits(runner, model)))
    if (runner === undefined) unloadSpareCopies(draft, model, others, true)
    else if (draft.load(runner, model, 'one availability zone')) targets.onLoad(runner, model)
  }
}

/** Unloads copies that no route uses, once all routed versions of their model are served. */
export function retireUnrouted (draft: Draft): void {
  for (const runner of draft.runners) {
    for (const copy of [...runner.copies.values()]) {
      if (draft.routed(copy.key) !== undefined || !replacementsServe(draft, copy)) continue
      draft.unload(copy, 'no route')
    }
  }
}

function replacementsServe (draft: Draft, copy: DraftCopy): boolean {
  return draft.models.filter(({ model }) => model === copy.model)
    .every(({ key }) => draft.copiesOf(key).some((other) => other.serving))
}

/** Selects runners for new copies. Keeps the work of each runner up to date as copies are added. */
class LoadTargetSelector {
  readonly #work = new Map<DraftRunner, number>()

  private constructor (private readonly draft: Draft, private readonly work: WorkByModel) {
    for (const runner of draft.runners) this.#work.set(runner, this.#workOn(runner))
  }

  static create (draft: Draft, work: WorkByModel): LoadTargetSelector {
    return new LoadTargetSelector(draft, work)
  }

  /** The runner with the highest score: its fraction of free memory minus its work. */
  best (runners: readonly DraftRunner[]): DraftRunner | undefined {
    let best: DraftRunner | undefined
    let bestScore = -Infinity
    for (const runner of runners) {
      const score = runner.freeMiB / runner.view.memoryMiB - (this.#work.get(runner) ?? 0)
      if (score <= bestScore) continue
      best = runner
      bestScore = score
    }
    return best
  }

  onLoad (runner: DraftRunner, model: RoutedModel): void {
    this.#work.set(runner, (this.#work.get(runner) ?? 0) + this.#shareOf(model.key))
  }

  #workOn (runner: DraftRunner): number {
    let total = 0
    for (const key of runner.copies.keys()) total += this.#shareOf(key)
    return total
  }

  #shareOf (key: string): number {
    return (this.work.get(key) ?? 0) / Math.max(1, this.draft.copiesOf(key).length)
  }
}

/** Unloads spare copies on the runner where the fewest are needed. If unloads in progress free enough memory, only reserves it. */
function unloadSpareCopies (draft: Draft, model: RoutedModel, runners: readonly DraftRunner[], keepZones = false): void {
  const eligible = runners.filter((runner) => runner.available && !runner.copies.has(model.key))
  const sufficient = eligible.find((runner) => draft.fitsAfterUnloads(runner, model))
  if (sufficient !== undefined) return draft.reserveFor(sufficient, model)
  let best: { runner: DraftRunner, victims: DraftCopy[] } | undefined
  for (const runner of eligible) {
    const victims = findVictims(draft, runner, model.sizeMiB, keepZones)
    if (victims !== undefined && (best === undefined || victims.length < best.victims.length)) best = { runner, victims }
  }
  if (best === undefined) return
  for (const copy of best.victims) draft.unload(copy, `memory for ${model.key}`)
  if (draft.fitsAfterUnloads(best.runner, model)) draft.reserveFor(best.runner, model)
}

/** Spare copies of a runner that free enough memory for a model; undefined if all of them together are too small. */
function findVictims (draft: Draft, runner: DraftRunner, sizeMiB: number, keepZones: boolean): DraftCopy[] | undefined {
  const spare = [...runner.copies.values()].filter((copy) => isSpare(draft, copy, keepZones))
  spare.sort((a, b) => draft.copiesOf(b.key).length - draft.copiesOf(a.key).length || b.sizeMiB - a.sizeMiB || compareText(a.key, b.key))
  const victims: DraftCopy[] = []
  let freeMiB = runner.freeMiB + runner.freeingMiB
  for (const copy of spare) {
    if (freeMiB >= sizeMiB) break
    victims.push(copy)
    freeMiB += copy.sizeMiB
  }
  return freeMiB >= sizeMiB ? victims : undefined
}

/** Whether a copy may be unloaded; with `keepZones`, a routed one only if other serving copies span two availability zones. */
export function isSpare (draft: Draft, copy: DraftCopy, keepZones: boolean): boolean {
  if (!draft.mayUnload(copy)) return false
  if (!keepZones || draft.routed(copy.key) === undefined) return true
  const others = draft.copiesOf(copy.key).filter((other) => other !== copy && other.serving)
  return new Set(others.map((other) => other.runner.view.availabilityZone)).size >= 2
}
