import { randomUUID } from 'node:crypto'

/** Source of identifiers; tests pass one that counts. */
export abstract class IdSource {
  /** Returns an identifier that no other call, process or host returns. */
  abstract next (): string
}

/** Identifiers from the system's random numbers (UUID version 4). */
export class RandomIdSource extends IdSource {
  static create (): RandomIdSource {
    return new RandomIdSource()
  }

  override next (): string {
    return randomUUID()
  }
}

/** Identifiers `PREFIX-1`, `PREFIX-2`, … for tests. */
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
