/**
 * Maps runner processes to values. An address is used by one process at a time, so a process is looked up by its address and
 * distinguished from its predecessors by its start time, or by its id if the start time isn't known. Pure state.
 */
import type { LocatedRunner } from './types.js'

type Entry<Value> = { process: LocatedRunner, value: Value }

export class ProcessMap<Value> {
  readonly #entries = new Map<string, Entry<Value>>()

  private constructor () {}

  static create<Value> (): ProcessMap<Value> {
    return new ProcessMap<Value>()
  }

  get (process: LocatedRunner): Value | undefined {
    const entry = this.#entries.get(process.address)
    return entry !== undefined && isSameProcess(entry.process, process) ? entry.value : undefined
  }

  /** Replaces the value for the address; returns false without a change if the present value belongs to a later process. */
  set (process: LocatedRunner, value: Value): boolean {
    const known = this.#entries.get(process.address)?.process
    if (known !== undefined && startOf(known) > startOf(process)) return false
    const { id, address, startedUnixMs } = process
    this.#entries.set(address, { process: { id, address, startedUnixMs }, value })
    return true
  }

  delete (process: LocatedRunner): void {
    if (this.get(process) !== undefined) this.#entries.delete(process.address)
  }

  entries (): Entry<Value>[] {
    return [...this.#entries.values()]
  }
}

function isSameProcess (one: LocatedRunner, other: LocatedRunner): boolean {
  if (one.address !== other.address) return false
  if (one.startedUnixMs === undefined || other.startedUnixMs === undefined) return one.id === other.id
  return one.startedUnixMs === other.startedUnixMs
}

function startOf ({ startedUnixMs }: LocatedRunner): number {
  return startedUnixMs ?? -Infinity
}
