/** Ends the process, with the reason as its last log line. */
import type { Clock } from '../clock/clock.js'
import { createLogger, type LogContext, type LogFields } from '../logs/logs.js'
import type { BoundedWriter } from '../logs/bounded-writer.js'
import type { ResultCodeInfo } from '../result/codes.js'

/** Time that an output has for the last line; a reader that is there takes it at once. */
const LAST_LINE_MS = 200

export type ProcessEndOptions = {
  clock: Clock
  /** Read when the line is written, so fields may be added until then. */
  context: LogContext
  /** Outputs for the last line; the next one is used if one doesn't take it. */
  writers: BoundedWriter[]
  /** Ends the process. */
  exit: (exitCode: number) => void
}

export type EndReason = {
  code: ResultCodeInfo
  exitCode: number
  /** What is known beyond the code. */
  fields?: LogFields
}

export class ProcessEnd {
  #ended: Promise<void> | undefined

  private constructor (private readonly options: ProcessEndOptions) {}

  static create (options: ProcessEndOptions): ProcessEnd {
    return new ProcessEnd(options)
  }

  /** Writes the reason and ends the process. Only the first reason counts. */
  end (reason: EndReason): Promise<void> {
    this.#ended ??= this.#end(reason)
    return this.#ended
  }

  async #end (reason: EndReason): Promise<void> {
    const line = this.#formatLine(reason)
    for (const writer of this.options.writers) {
      if (await writer.writeLast(line, LAST_LINE_MS)) break
    }
    this.options.exit(reason.exitCode)
  }

  #formatLine ({ code, exitCode, fields }: EndReason): string {
    const { context, clock } = this.options
    let formatted = ''
    const log = createLogger(context, clock, { write: (line) => { formatted = line } })
    const write = exitCode === 0 ? log.info : log.error
    write('process ends', { code: code.code, type: code.type, exitCode, ...fields })
    return formatted
  }
}
