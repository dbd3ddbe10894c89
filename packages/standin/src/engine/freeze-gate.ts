/** Holds back callbacks while an engine is frozen and runs them in order afterwards. */
export class Gate {
  readonly #held: (() => void)[] = []
  #frozen = false

  private constructor () {}

  static create (): Gate {
    return new Gate()
  }

  get frozen (): boolean {
    return this.#frozen
  }

  set frozen (frozen: boolean) {
    this.#frozen = frozen
    while (!this.#frozen) {
      const callback = this.#held.shift()
      if (callback === undefined) return
      callback()
    }
  }

  /** Runs the callback now, or once the engine goes on. */
  run (callback: () => void): void {
    if (this.#frozen) this.#held.push(callback)
    else callback()
  }

  /** Resolves now, or once the engine goes on. */
  pass (): Promise<void> {
    return new Promise((resolve) => this.run(resolve))
  }
}
