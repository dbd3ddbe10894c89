import { createConsola, type ConsolaInstance } from 'consola'
import type { Clock } from '../clock/clock.js'

/** Fields that are added to every line of a process. */
export type LogContext = { program: string, host?: string, availabilityZone?: string }

/** Fields of one line; names include their unit. */
export type LogFields = Record<string, string | number | boolean | undefined>

/** Writes JSON lines: time, level, message, context and fields. */
export type Logger = {
  debug: (message: string, fields?: LogFields) => void
  info: (message: string, fields?: LogFields) => void
  warn: (message: string, fields?: LogFields) => void
  error: (message: string, fields?: LogFields) => void
}

/** Log levels with their numbers in consola. */
const LEVELS = { error: 0, warn: 1, info: 3, debug: 4 } as const

export type LogLevel = keyof typeof LEVELS

/** Creates a logger that writes to standard error, or with `write` instead. */
export function createLogger (
  context: LogContext,
  clock: Clock,
  options: { level?: LogLevel, write?: (line: string) => void } = {}
): Logger {
  const write = options.write ?? ((line: string) => { process.stderr.write(line) })
  const consola = createConsola({
    level: LEVELS[options.level ?? 'info'],
    reporters: [{
      log: ({ type, args }) => {
        const [message, fields] = args as [string, LogFields | undefined]
        write(JSON.stringify({ time: clock.now().toISOString(), level: type, message, ...context, ...fields }) + '\n')
      }
    }]
  })
  return { debug: bindLevel(consola, 'debug'), info: bindLevel(consola, 'info'), warn: bindLevel(consola, 'warn'), error: bindLevel(consola, 'error') }
}

/** Logger that drops every line. */
export const silentLogger: Logger = { debug () {}, info () {}, warn () {}, error () {} }

function bindLevel (consola: ConsolaInstance, level: 'debug' | 'info' | 'warn' | 'error') {
  return (message: string, fields: LogFields = {}) => consola[level](message, fields)
}
