import { compareText } from '../rows/rows.js'
import type { CopyNeed } from './copies.js'
import { findBestBin, packItems, sortBySize } from './packing.js'
import type { PoolChange } from './peak.js'

/** Actions of a stepwise change. A move loads on the new runner before it unloads on the old one. */
export const PeakAction = { Load: 'load', Unload: 'unload', Move: 'move' } as const
export type PeakAction = (typeof PeakAction)[keyof typeof PeakAction]

/** One step of a stepwise change. */
export type PeakStep = {
  action: PeakAction
  pool: string
  runner: string
  /** Where a move comes from. */
  fromRunner?: string
  model: string
  version: string
  sizeMiB: number
}

type Resident = CopyNeed & { bin: RunnerBin }
type RunnerBin = { pool: string, runner: string, freeMiB: number, stays: boolean }

/** Simulates a change copy by copy, never unloading the last resident copy that a route needs. */
export class StepwisePlanner {
  readonly #bins: RunnerBin[] = []
  readonly #residents: Resident[] = []
  readonly #wanted = new Map<string, CopyNeed>()
  readonly #steps: PeakStep[] = []
  /** Copies that could not even be placed before the change. */
  readonly #homeless: CopyNeed[] = []

  private constructor (private readonly successors: ReadonlyMap<string, ReadonlySet<string>>) {}

  /** Starts from a packing of the old copies. `successors` gives the copies that must be resident before one leaves. */
  static create (changes: readonly PoolChange[], successors: ReadonlyMap<string, ReadonlySet<string>>): StepwisePlanner {
    const planner = new StepwisePlanner(successors)
    for (const change of changes) planner.#addPool(change)
    return planner
  }

  /** Steps of the whole change, and the copies that find no room at any point. */
  run (): { steps: PeakStep[], stuck: CopyNeed[] } {
    for (;;) {
      this.#unloadReplaced()
      const pending = this.#pending()
      if (pending.length === 0) return { steps: this.#steps, stuck: this.#homeless }
      const progressed = pending.some((copy) => this.#load(copy)) || pending.some((copy) => this.#makeRoom(copy))
      if (!progressed) return { steps: this.#steps, stuck: [...this.#homeless, ...pending] }
    }
  }

  #addPool ({ name, before, after, oldCopies, newCopies }: PoolChange): void {
    const memory = new Map((before?.runners ?? []).map((runner) => [runner.name, runner.memoryMiB]))
    for (const runner of after?.runners ?? []) memory.set(runner.name, runner.memoryMiB)
    const staying = new Set((after?.runners ?? []).map((runner) => runner.name))
    const bins = [...memory].sort(([a], [b]) => compareText(a, b))
      .map(([runner, freeMiB]) => ({ pool: name, runner, freeMiB, stays: staying.has(runner) }))
    this.#bins.push(...bins)
    for (const copy of newCopies) this.#wanted.set(copy.key, copy)
    this.#placeOld(oldCopies, bins.filter(({ runner }) => before?.runners.some((old) => old.name === runner)))
  }

  #placeOld (copies: readonly CopyNeed[], bins: readonly RunnerBin[]): void {
    const { placed, unplaced } = packItems(copies, bins)
    this.#homeless.push(...copies.filter(({ key }) => unplaced.some((item) => item.key === key)))
    for (const copy of copies) {
      const bin = bins.find(({ runner }) => runner === placed.get(copy.key))
      if (bin !== undefined) this.#place(copy, bin)
    }
  }

  /** New copies that are not yet resident at their full size on a runner that stays. */
  #pending (): CopyNeed[] {
    return sortBySize([...this.#wanted.values()].filter((copy) => !this.#isServed(copy)))
  }

  #isServed (copy: CopyNeed): boolean {
    return this.#residents.some((resident) => resident.key === copy.key && isFull(resident, copy))
  }

  #unloadReplaced (): void {
    for (const resident of [...this.#residents]) {
      if (this.#mayLeave(resident)) this.#unload(resident)
    }
  }

  /** A copy may leave when its routes' new copies are resident, or when a better copy of its own is. */
  #mayLeave (resident: Resident): boolean {
    const wanted = this.#wanted.get(resident.key)
    const successorsReady = [...this.successors.get(resident.key) ?? []].every((key) => this.#isReady(key))
    if (wanted === undefined) return successorsReady
    return this.#residents.some((other) => other !== resident && other.key === resident.key && isFull(other, wanted))
  }

  /** Copies of pools outside this plan fit side by side, so that nothing here waits for them. */
  #isReady (key: string): boolean {
    const copy = this.#wanted.get(key)
    return copy === undefined || this.#isServed(copy)
  }

  /** Loads a copy where it fits, or grows the copy that is there. */
  #load (copy: CopyNeed): boolean {
    const present = this.#residents.find(({ key, bin }) => key === copy.key && bin.stays)
    const growthMiB = present === undefined ? Infinity : copy.sizeMiB - present.sizeMiB
    if (present !== undefined && present.bin.freeMiB >= growthMiB) {
      present.bin.freeMiB -= growthMiB
      present.sizeMiB = copy.sizeMiB
      this.#log(PeakAction.Load, copy, present.bin)
      return true
    }
    const bin = findBestBin(this.#binsOf(copy.pool), copy.sizeMiB)
    if (bin === undefined) return false
    this.#place(copy, bin)
    this.#log(PeakAction.Load, copy, bin)
    return true
  }

  /** Moves one copy elsewhere if that gives the copy room on its runner. */
  #makeRoom (copy: CopyNeed): boolean {
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

  #place (copy: CopyNeed, bin: RunnerBin): void {
    bin.freeMiB -= copy.sizeMiB
    this.#residents.push({ ...copy, bin })
  }

  #unload (resident: Resident): void {
    resident.bin.freeMiB += resident.sizeMiB
    this.#residents.splice(this.#residents.indexOf(resident), 1)
    this.#log(PeakAction.Unload, resident, resident.bin)
  }

  #move (resident: Resident, target: RunnerBin): void {
    const fromRunner = resident.bin.runner
    resident.bin.freeMiB += resident.sizeMiB
    target.freeMiB -= resident.sizeMiB
    resident.bin = target
    this.#steps.push({ ...this.#step(PeakAction.Move, resident, target), fromRunner })
  }

  #log (action: PeakAction, copy: CopyNeed, bin: RunnerBin): void {
    this.#steps.push(this.#step(action, copy, bin))
  }

  #step (action: PeakAction, { pool, model, version, sizeMiB }: CopyNeed, { runner }: RunnerBin): PeakStep {
    return { action, pool, runner, model, version, sizeMiB }
  }
}

/** Whether a copy is resident at its full size on a runner that stays. */
function isFull ({ sizeMiB, bin }: Resident, wanted: CopyNeed): boolean {
  return sizeMiB >= wanted.sizeMiB && bin.stays
}
