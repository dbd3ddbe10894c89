import type { ReportedAdapter, ReportedCopy } from '@figloom/clients'

/** Names a copy; an adapter is not part of the key. */
export function copyKey (model: string, version: string): string {
  return `${model}@${version}`
}

/** What an engine holds. It never refuses for lack of memory but counts each time that more is held than there is. */
export class EngineMemory {
  readonly copies = new Map<string, ReportedCopy>()
  /** Steps of growth that ended above the engine's memory. */
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
    this.#noteGrowth()
  }

  addAdapter (copy: ReportedCopy, adapter: ReportedAdapter): void {
    copy.adapters.push(adapter)
    this.#noteGrowth()
  }

  remove (copy: ReportedCopy): void {
    const key = copyKey(copy.model, copy.version)
    if (this.copies.get(key) === copy) this.copies.delete(key)
  }

  /** Returns whether a request can start here. Without a version, any resident one will do. */
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

  #noteGrowth (): void {
    const usedMiB = this.usedMiB
    this.peakUsedMiB = Math.max(this.peakUsedMiB, usedMiB)
    if (usedMiB > this.memoryMiB) this.overcommitCount += 1
  }
}

function hasAdapter (copy: ReportedCopy, name: string): boolean {
  return copy.adapters.some((adapter) => adapter.name === name && adapter.state === 'resident')
}
