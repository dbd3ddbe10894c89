/**
 * Values that belong to one start of a runner. An address is used by one process at a time, so that a process is found by
 * its address and told from its predecessors by its start, or by its id where it names none. Pure state.
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

  /** Replaces what is kept for the address, unless that belongs to a process that started later; false: it does. */
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
