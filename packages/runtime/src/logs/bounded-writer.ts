/** Writes log lines without ever blocking the process: at a limited rate, into a bounded buffer. Excess lines are dropped. */
import { createWriteStream, fstatSync } from 'node:fs'
import { Socket } from 'node:net'
import type { Writable } from 'node:stream'
import type { Clock } from '../clock/clock.js'

export type WriterLimits = {
  /** Sustained rate of lines per second. */
  maxLinesPerS: number
  /** Lines that may be written in a burst, above the sustained rate. */
  burstLines: number
  /** Largest size of the output buffer; lines that do not fit are dropped. */
  maxBufferedBytes: number
}

export const DEFAULT_WRITER_LIMITS: WriterLimits = { maxLinesPerS: 100, burstLines: 400, maxBufferedBytes: 262_144 }

/** Shortest time between two summaries of dropped lines. */
const SUMMARY_INTERVAL_MS = 5_000
const STDOUT_FD = 1
const STDERR_FD = 2

/** Opens standard output as a stream whose writes never block; `process.stdout` blocks on a pipe that is not read. */
export function openStandardOutput (): Writable {
  return openOutput(STDOUT_FD)
}

/** As openStandardOutput, for standard error. */
export function openStandardError (): Writable {
  return openOutput(STDERR_FD)
}

function openOutput (fd: number): Writable {
  const kind = fstatSync(fd)
  if (kind.isFIFO() || kind.isSocket()) return new Socket({ fd, readable: false, writable: true })
  return createWriteStream('', { fd, autoClose: false })
}

export class BoundedWriter {
  #tokens: number
  #lastRefillMs: number
  #dropped = 0
  #lastSummaryMs: number

  private constructor (private readonly output: Writable, private readonly clock: Clock, private readonly limits: WriterLimits) {
    this.#tokens = limits.burstLines
    this.#lastRefillMs = clock.monotonicMs()
    this.#lastSummaryMs = this.#lastRefillMs
    // An error of the output, such as a closed pipe, must not end the process; it counts as a dropped line.
    output.on('error', () => { this.#dropped += 1 })
  }

  static create (output: Writable, clock: Clock, limits: WriterLimits = DEFAULT_WRITER_LIMITS): BoundedWriter {
    return new BoundedWriter(output, clock, limits)
  }

  /** Writes a line or drops it. `important` lines are exempt from the rate limit, but not from the buffer limit. */
  write (line: string, important = false): void {
    const nowMs = this.clock.monotonicMs()
    this.#refill(nowMs)
    this.#summarize(nowMs)
    const isBufferFull = this.output.writableLength + line.length > this.limits.maxBufferedBytes
    if (isBufferFull || (!important && this.#tokens < 1)) {
      this.#dropped += 1
      return
    }
    this.#tokens = Math.max(0, this.#tokens - 1)
    this.output.write(line)
  }

  /** Writes the line after which the process exits. Resolves with whether it reached the output within this time, after all lines before it. */
  writeLast (line: string, withinMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = this.clock.setTimer(withinMs, () => resolve(false))
      this.output.write(line, (error) => {
        timer.cancel()
        resolve(error === null || error === undefined)
      })
    })
  }

  get dropped (): number {
    return this.#dropped
  }

  #refill (nowMs: number): void {
    const elapsedS = Math.max(0, nowMs - this.#lastRefillMs) / 1000
    this.#tokens = Math.min(this.limits.burstLines, this.#tokens + elapsedS * this.limits.maxLinesPerS)
    this.#lastRefillMs = nowMs
  }

  #summarize (nowMs: number): void {
    if (this.#dropped === 0 || nowMs - this.#lastSummaryMs < SUMMARY_INTERVAL_MS) return
    if (this.output.writableLength > this.limits.maxBufferedBytes / 2) return
    const line = { time: this.clock.now().toISOString(), level: 'warn', message: 'log lines dropped', count: this.#dropped, withinMs: Math.round(nowMs - this.#lastSummaryMs) }
    this.output.write(JSON.stringify(line) + '\n')
    this.#dropped = 0
    this.#lastSummaryMs = nowMs
  }
}
