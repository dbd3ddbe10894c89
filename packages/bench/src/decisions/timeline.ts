/** Virtual clock of a replay: runs scheduled callbacks in order of time, ties in order of scheduling. */
import TinyQueue from 'tinyqueue'

type Event = { atMs: number, sequence: number, run: () => void }

export class Timeline {
  nowMs = 0
  #nextSequence = 0
  readonly #events = new TinyQueue<Event>([], (a, b) => a.atMs - b.atMs || a.sequence - b.sequence)

  static create (): Timeline {
    return new Timeline()
  }

  runAt (atMs: number, run: () => void): void {
    this.#events.push({ atMs: Math.max(atMs, this.nowMs), sequence: this.#nextSequence++, run })
  }

  runAfter (delayMs: number, run: () => void): void {
    this.runAt(this.nowMs + delayMs, run)
  }

  /** Calls `run` every `intervalMs` until `untilMs`. */
  runEvery (intervalMs: number, untilMs: number, run: () => void): void {
    const tick = () => {
      run()
      if (this.nowMs + intervalMs <= untilMs) this.runAfter(intervalMs, tick)
    }
    this.runAfter(intervalMs, tick)
  }

  /** Runs the events that are due, in order, until `untilMs`. */
  runUntil (untilMs: number): void {
    for (let event = this.#events.peek(); event !== undefined && event.atMs <= untilMs; event = this.#events.peek()) {
      this.#events.pop()
      this.nowMs = event.atMs
      event.run()
    }
    this.nowMs = untilMs
  }
}
