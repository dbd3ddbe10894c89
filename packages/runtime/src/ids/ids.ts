import { randomUUID } from 'node:crypto'

/** Source of unique identifiers; tests use sequential ones. */
export abstract class IdSource {
  /** Returns an identifier that is unique across calls, processes and hosts. */
  abstract next (): string
}

/** Random identifiers (UUID version 4). */
export class RandomIdSource extends IdSource {
  static create (): RandomIdSource {
    return new RandomIdSource()
  }

  override next (): string {
    return randomUUID()
  }
}

/** Sequential identifiers for tests: `PREFIX-1`, `PREFIX-2`, … */
export class SequentialIdSource extends IdSource {
  #count = 0

  private constructor (readonly prefix: string) {
    super()
  }

  static create (prefix: string): SequentialIdSource {
    return new SequentialIdSource(prefix)
  }

  override next (): string {
    this.#count += 1
    return `${this.prefix}-${this.#count}`
  }
}
