/**
 * Counts the lines of the heads that come before the body of an answer, interim ones included. Each line costs the HTTP client far more
 * memory than its bytes, so that a limit on the bytes of a head alone doesn't bound it.
 */

/** Runners' heads have a dozen lines. */
const MAX_LINES = 256
const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const INTERIM = /^HTTP\/1\.\d 1/
/** Bytes of a line that show whether it begins an interim answer. */
const STATUS_BYTES = 10

export class HeadLines {
  #lines = 0
  #isWithinHead = true
  /** Beginning of the line that isn't complete yet. */
  #begin = ''
  /** The present head is that of an interim answer: another head follows. */
  #isInterim = false
  #isFirstLine = true

  static create (): HeadLines {
    return new HeadLines()
  }

  /** The next bytes begin another answer. */
  reset (): void {
    this.#lines = 0
    this.#beginHead()
    this.#isWithinHead = true
  }

  /** @returns false if there are more lines than a valid answer has */
  push (bytes: Buffer): boolean {
    let start = 0
    while (this.#isWithinHead) {
      const end = bytes.indexOf(LINE_FEED, start)
      this.#keepBegin(bytes, start, end < 0 ? bytes.length : end)
      if (end < 0) return true
      this.#onLine()
      if (this.#lines > MAX_LINES) return false
      start = end + 1
    }
    return true
  }

  #keepBegin (bytes: Buffer, start: number, end: number): void {
    const isEnded = end > start && bytes[end - 1] === CARRIAGE_RETURN
    const missing = STATUS_BYTES - this.#begin.length
    this.#begin += bytes.toString('latin1', start, Math.min(isEnded ? end - 1 : end, start + missing))
  }

  #onLine (): void {
    this.#lines += 1
    const line = this.#begin
    this.#begin = ''
    // Blank lines may come before a head.
    if (line === '' && this.#isFirstLine) return
    if (line === '') return this.#onHeadEnded()
    if (this.#isFirstLine) this.#isInterim = INTERIM.test(line)
    this.#isFirstLine = false
  }

  #onHeadEnded (): void {
    this.#isWithinHead = this.#isInterim
    this.#beginHead()
  }

  #beginHead (): void {
    this.#begin = ''
    this.#isFirstLine = true
    this.#isInterim = false
  }
}
