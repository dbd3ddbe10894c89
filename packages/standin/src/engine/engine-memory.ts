import type { ReportedAdapter, ReportedCopy } from '@figloom/clients'

/** Key of a copy: model and version. Adapters are not part of it. */
export function copyKey (model: string, version: string): string {
  return `${model}@${version}`
}

/** Memory use of an engine. An allocation beyond the engine's memory succeeds, but is counted as overcommitted. */
export class EngineMemory {
  readonly copies = new Map<string, ReportedCopy>()
  /** Number of allocations after which more than `memoryMiB` was in use. */
  overcommitCount = 0
  peakUsedMiB = 0

  private constructor (readonly memoryMiB: number) {}

  static create (memoryMiB: number): EngineMemory {
    return new EngineMemory(memoryMiB)
  }

  get usedMiB (): number {
    let usedMiB = 0
    for (const copy of this.copies.values()) {
      usedMiB += copy.weightsMiB + copy.kvReserveMiB
      for (const adapter of copy.adapters) usedMiB += adapter.sizeMiB
    }
    return usedMiB
  }

  find (model: string, version: string): ReportedCopy | undefined {
    return this.copies.get(copyKey(model, version))
  }

  add (copy: ReportedCopy): void {
    this.copies.set(copyKey(copy.model, copy.version), copy)
    this.#recordAllocation()
  }

  addAdapter (copy: ReportedCopy, adapter: ReportedAdapter): void {
    copy.adapters.push(adapter)
    this.#recordAllocation()
  }

  remove (copy: ReportedCopy): void {
    const key = copyKey(copy.model, copy.version)
    if (this.copies.get(key) === copy) this.copies.delete(key)
  }

  /** Whether a request can run on a resident copy. Without `version`, any version matches. */
  isResident (model: string, version?: string, adapter?: string): boolean {
    return this.residentCopy(model, version, adapter) !== undefined
  }

  residentCopy (model: string, version?: string, adapter?: string): ReportedCopy | undefined {
    for (const copy of this.copies.values()) {
      const matches = copy.model === model && copy.state === 'resident' && (version === undefined || copy.version === version)
      if (matches && (adapter === undefined || hasAdapter(copy, adapter))) return copy
    }
    return undefined
  }

  #recordAllocation (): void {
    const usedMiB = this.usedMiB
    this.peakUsedMiB = Math.max(this.peakUsedMiB, usedMiB)
    if (usedMiB > this.memoryMiB) this.overcommitCount += 1
  }
}

function hasAdapter (copy: ReportedCopy, name: string): boolean {
  return copy.adapters.some((adapter) => adapter.name === name && adapter.state === 'resident')
}
