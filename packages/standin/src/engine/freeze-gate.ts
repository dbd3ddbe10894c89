/** Queues callbacks while an engine is frozen and runs them in order when it is unfrozen. */
export class FreezeGate {
  readonly #queue: (() => void)[] = []
  #frozen = false

  private constructor () {}

  static create (): FreezeGate {
    return new FreezeGate()
  }

  get frozen (): boolean {
    return this.#frozen
  }

  set frozen (frozen: boolean) {
    this.#frozen = frozen
    while (!this.#frozen) {
      const callback = this.#queue.shift()
      if (callback === undefined) return
      callback()
    }
  }

  /** Runs the callback at once, or when the engine is unfrozen. */
  whenUnfrozen (callback: () => void): void {
    if (this.#frozen) this.#queue.push(callback)
    else callback()
  }

  /** Resolves at once, or when the engine is unfrozen. */
  untilUnfrozen (): Promise<void> {
    return new Promise((resolve) => this.whenUnfrozen(resolve))
  }
}
