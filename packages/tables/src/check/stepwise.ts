import { compareText } from '../rows/rows.js'
import type { RequiredCopy } from './copies.js'
import { findBestBin, packItems, sortBySize } from './packing.js'
import type { PoolChange } from './transition.js'

/** Actions of a stepwise change. A move loads the copy on the new runner before it unloads it on the old one. */
export const TransitionAction = { Load: 'load', Unload: 'unload', Move: 'move' } as const
export type TransitionAction = (typeof TransitionAction)[keyof typeof TransitionAction]

/** One step of a stepwise change. */
export type TransitionStep = {
  action: TransitionAction
  pool: string
  runner: string
  /** Runner that a move unloads the copy from. */
  fromRunner?: string
  model: string
  version: string
  sizeMiB: number
}

type ResidentCopy = RequiredCopy & { bin: RunnerBin }
/** A runner that exists before or after the change; `stays` if it exists after it. */
type RunnerBin = { pool: string, runner: string, freeMiB: number, stays: boolean }

/** Simulates a change copy by copy and never unloads the last resident copy that a route requires. */
export class StepwisePlanner {
  readonly #bins: RunnerBin[] = []
  readonly #residents: ResidentCopy[] = []
  readonly #newCopies = new Map<string, RequiredCopy>()
  readonly #steps: TransitionStep[] = []
  /** Old copies that the packing at the start could not place. */
  readonly #unplacedAtStart: RequiredCopy[] = []

  private constructor (private readonly successors: ReadonlyMap<string, ReadonlySet<string>>) {}

  /** Starts from a packing of the old copies. `successors` lists by key the copies that must be resident before a copy is unloaded. */
  static create (changes: readonly PoolChange[], successors: ReadonlyMap<string, ReadonlySet<string>>): StepwisePlanner {
    const planner = new StepwisePlanner(successors)
    for (const change of changes) planner.#addPool(change)
    return planner
  }

  /** Returns the steps of the whole change, and the copies that fit on no runner at any point. */
  run (): { steps: TransitionStep[], unplaced: RequiredCopy[] } {
    for (;;) {
      this.#unloadReplaced()
      const missing = this.#missingCopies()
      if (missing.length === 0) return { steps: this.#steps, unplaced: this.#unplacedAtStart }
      const progressed = missing.some((copy) => this.#load(copy)) || missing.some((copy) => this.#makeRoom(copy))
      if (!progressed) return { steps: this.#steps, unplaced: [...this.#unplacedAtStart, ...missing] }
    }
  }

  #addPool ({ name, before, after, oldCopies, newCopies }: PoolChange): void {
    const memory = new Map((before?.runners ?? []).map((runner) => [runner.name, runner.memoryMiB]))
    for (const runner of after?.runners ?? []) memory.set(runner.name, runner.memoryMiB)
    const staying = new Set((after?.runners ?? []).map((runner) => runner.name))
    const bins = [...memory].sort(([a], [b]) => compareText(a, b))
      .map(([runner, freeMiB]) => ({ pool: name, runner, freeMiB, stays: staying.has(runner) }))
    this.#bins.push(...bins)
    for (const copy of newCopies) this.#newCopies.set(copy.key, copy)
    this.#placeOldCopies(oldCopies, bins.filter(({ runner }) => before?.runners.some((old) => old.name === runner)))
  }

  #placeOldCopies (copies: readonly RequiredCopy[], bins: readonly RunnerBin[]): void {
    const { placed, unplaced } = packItems(copies, bins)
    this.#unplacedAtStart.push(...copies.filter(({ key }) => unplaced.some((item) => item.key === key)))
    for (const copy of copies) {
      const bin = bins.find(({ runner }) => runner === placed.get(copy.key))
      if (bin !== undefined) this.#place(copy, bin)
    }
  }

  /** New copies that are not yet resident at their full size on a runner that stays, largest first. */
  #missingCopies (): RequiredCopy[] {
    return sortBySize([...this.#newCopies.values()].filter((copy) => !this.#isResident(copy)))
  }

  #isResident (copy: RequiredCopy): boolean {
    return this.#residents.some((resident) => resident.key === copy.key && isFull(resident, copy))
  }

  #unloadReplaced (): void {
    for (const resident of [...this.#residents]) {
      if (this.#mayUnload(resident)) this.#unload(resident)
    }
  }

  /**
   * A copy that is no longer required may be unloaded when the copies that its routes move to are resident; any other
   * when a second copy of the same model version is resident at its full size on a runner that stays.
   */
  #mayUnload (resident: ResidentCopy): boolean {
    const newCopy = this.#newCopies.get(resident.key)
    const successorsReady = [...this.successors.get(resident.key) ?? []].every((key) => this.#isReady(key))
    if (newCopy === undefined) return successorsReady
    return this.#residents.some((other) => other !== resident && other.key === resident.key && isFull(other, newCopy))
  }

  /** Copies of pools outside this plan fit in memory beside the old ones, so they count as ready at once. */
  #isReady (key: string): boolean {
    const copy = this.#newCopies.get(key)
    return copy === undefined || this.#isResident(copy)
  }

  /** Loads a copy on the runner where it fits best, or enlarges the copy that is resident already. */
  #load (copy: RequiredCopy): boolean {
    const present = this.#residents.find(({ key, bin }) => key === copy.key && bin.stays)
    const growthMiB = present === undefined ? Infinity : copy.sizeMiB - present.sizeMiB
    if (present !== undefined && present.bin.freeMiB >= growthMiB) {
      present.bin.freeMiB -= growthMiB
      present.sizeMiB = copy.sizeMiB
      this.#addStep(TransitionAction.Load, copy, present.bin)
      return true
    }
    const bin = findBestBin(this.#binsOf(copy.pool), copy.sizeMiB)
    if (bin === undefined) return false
    this.#place(copy, bin)
    this.#addStep(TransitionAction.Load, copy, bin)
    return true
  }

  /** Moves another copy to a different runner if that frees enough memory for this copy. */
  #makeRoom (copy: RequiredCopy): boolean {
    for (const bin of this.#binsOf(copy.pool)) {
      const lackingMiB = copy.sizeMiB - bin.freeMiB
      const movable = this.#residents.filter((other) => other.bin === bin && other.sizeMiB >= lackingMiB)
      for (const other of sortBySize(movable).reverse()) {
        const target = findBestBin(this.#binsOf(copy.pool).filter((candidate) => candidate !== bin), other.sizeMiB)
        if (target === undefined) continue
        this.#move(other, target)
        return this.#load(copy)
      }
    }
    return false
  }

  #binsOf (pool: string): RunnerBin[] {
    return this.#bins.filter((bin) => bin.pool === pool && bin.stays)
  }

  #place (copy: RequiredCopy, bin: RunnerBin): void {
    bin.freeMiB -= copy.sizeMiB
    this.#residents.push({ ...copy, bin })
  }

  #unload (resident: ResidentCopy): void {
    resident.bin.freeMiB += resident.sizeMiB
    this.#residents.splice(this.#residents.indexOf(resident), 1)
    this.#addStep(TransitionAction.Unload, resident, resident.bin)
  }

  #move (resident: ResidentCopy, target: RunnerBin): void {
    const fromRunner = resident.bin.runner
    resident.bin.freeMiB += resident.sizeMiB
    target.freeMiB -= resident.sizeMiB
    resident.bin = target
    this.#steps.push({ ...this.#createStep(TransitionAction.Move, resident, target), fromRunner })
  }

  #addStep (action: TransitionAction, copy: RequiredCopy, bin: RunnerBin): void {
    this.#steps.push(this.#createStep(action, copy, bin))
  }

  #createStep (action: TransitionAction, { pool, model, version, sizeMiB }: RequiredCopy, { runner }: RunnerBin): TransitionStep {
    return { action, pool, runner, model, version, sizeMiB }
  }
}

/** Whether a resident copy has the required size and is on a runner that stays. */
function isFull ({ sizeMiB, bin }: ResidentCopy, required: RequiredCopy): boolean {
  return sizeMiB >= required.sizeMiB && bin.stays
}
