/** Writes log lines without ever holding up the process: at a bounded rate, into a bounded buffer. */
import { createWriteStream, fstatSync } from 'node:fs'
import { Socket } from 'node:net'
import type { Writable } from 'node:stream'
import type { Clock } from '../clock/clock.js'

export type WriterLimits = {
  /** Lines a second over a longer time. */
  maxLinesPerS: number
  /** Lines that may be written at once after a quiet time. */
  burstLines: number
  /** Bytes that wait for a reader; lines beyond are dropped. */
  maxBufferedBytes: number
}

export const DEFAULT_WRITER_LIMITS: WriterLimits = { maxLinesPerS: 100, burstLines: 400, maxBufferedBytes: 262_144 }

/** Time between two summaries of dropped lines. */
const SUMMARY_MS = 5_000
const STANDARD_OUTPUT = 1

/** Standard output as a stream whose writes never block; a pipe's own stream would wait for its reader. */
export function openStandardOutput (): Writable {
  const kind = fstatSync(STANDARD_OUTPUT)
  if (kind.isFIFO() || kind.isSocket()) return new Socket({ fd: STANDARD_OUTPUT, readable: false, writable: true })
  return createWriteStream('', { fd: STANDARD_OUTPUT, autoClose: false })
}

export class BoundedWriter {
  #tokens: number
  #refilledMs: number
  #dropped = 0
  #summaryMs: number

  private constructor (private readonly output: Writable, private readonly clock: Clock, private readonly limits: WriterLimits) {
    this.#tokens = limits.burstLines
    this.#refilledMs = clock.monotonicMs()
    this.#summaryMs = this.#refilledMs
    // A reader that went away must not end the process; what it would have read is counted as dropped.
    output.on('error', () => { this.#dropped += 1 })
  }

  static create (output: Writable, clock: Clock, limits: WriterLimits = DEFAULT_WRITER_LIMITS): BoundedWriter {
    return new BoundedWriter(output, clock, limits)
  }

  /** Writes a line or drops it; `important` lines pass the rate, but not the buffer. */
  write (line: string, important = false): void {
    const nowMs = this.clock.monotonicMs()
    this.#refill(nowMs)
    this.#summarize(nowMs)
    const full = this.output.writableLength + line.length > this.limits.maxBufferedBytes
    if (full || (!important && this.#tokens < 1)) {
      this.#dropped += 1
      return
    }
    this.#tokens = Math.max(0, this.#tokens - 1)
    this.output.write(line)
  }

  get dropped (): number {
    return this.#dropped
  }

  #refill (nowMs: number): void {
    const elapsedS = Math.max(0, nowMs - this.#refilledMs) / 1000
    this.#tokens = Math.min(this.limits.burstLines, this.#tokens + elapsedS * this.limits.maxLinesPerS)
    this.#refilledMs = nowMs
  }

  #summarize (nowMs: number): void {
    if (this.#dropped === 0 || nowMs - this.#summaryMs < SUMMARY_MS) return
    if (this.output.writableLength > this.limits.maxBufferedBytes / 2) return
    const line = { time: this.clock.now().toISOString(), level: 'warn', message: 'log lines dropped', count: this.#dropped, withinMs: Math.round(nowMs - this.#summaryMs) }
    this.output.write(JSON.stringify(line) + '\n')
    this.#dropped = 0
    this.#summaryMs = nowMs
  }
}
