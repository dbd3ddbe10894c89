/** Virtual time of the replay: an event heap. */
import TinyQueue from 'tinyqueue'

type Event = { atMs: number, order: number, run: () => void }

export class Timeline {
  nowMs = 0
  #order = 0
  readonly #events = new TinyQueue<Event>([], (a, b) => a.atMs - b.atMs || a.order - b.order)

  static create (): Timeline {
    return new Timeline()
  }

  at (atMs: number, run: () => void): void {
    this.#events.push({ atMs: Math.max(atMs, this.nowMs), order: this.#order++, run })
  }

  after (delayMs: number, run: () => void): void {
    this.at(this.nowMs + delayMs, run)
  }

  /** Calls `run` every `intervalMs` until `untilMs`. */
  every (intervalMs: number, untilMs: number, run: () => void): void {
    const tick = () => {
      run()
      if (this.nowMs + intervalMs <= untilMs) this.after(intervalMs, tick)
    }
    this.after(intervalMs, tick)
  }

  /** Runs events in order until `untilMs`. */
  runUntil (untilMs: number): void {
    for (let event = this.#events.peek(); event !== undefined && event.atMs <= untilMs; event = this.#events.peek()) {
      this.#events.pop()
      this.nowMs = event.atMs
      event.run()
    }
    this.nowMs = untilMs
  }
}
