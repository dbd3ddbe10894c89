/** Parses collected log lines of hosts: one JSON object a line, optionally after a prefix that a log collector added. */

/** Value of a field other than time, host and message. */
export type LogValue = string | number | boolean
export type LogLineFields = ReadonlyMap<string, LogValue>

export type LogLine = {
  /** On the clock of the host that wrote the line, in Unix milliseconds. */
  writtenUnixMs: number
  host: string
  message: string
  fields: LogLineFields
}

/** Fields that have a property of their own, or are of no use to a timeline. */
const EXCLUDED_FIELDS: readonly string[] = ['time', 'host', 'message', 'level', 'program', 'availabilityZone']

/** Parses a line; undefined if it is not a log line of a host. */
export function parseLogLine (text: string): LogLine | undefined {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  const value = parseObject(text.slice(start))
  if (value === undefined) return undefined
  const { time, host, message } = value
  if (typeof time !== 'string' || typeof host !== 'string' || typeof message !== 'string') return undefined
  const writtenUnixMs = Date.parse(time)
  if (Number.isNaN(writtenUnixMs)) return undefined
  return { writtenUnixMs, host, message, fields: toFields(value) }
}

type JsonObject = Record<string, unknown>

/** Undefined for output of other programs, which may be mixed with the lines of hosts. */
function parseObject (text: string): JsonObject | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as JsonObject : undefined
  } catch {
    return undefined
  }
}

function toFields (value: JsonObject): LogLineFields {
  const fields = new Map<string, LogValue>()
  for (const [name, field] of Object.entries(value)) {
    const plain = typeof field === 'string' || typeof field === 'number' || typeof field === 'boolean'
    if (plain && !EXCLUDED_FIELDS.includes(name)) fields.set(name, field)
  }
  return fields
}

export function textOf (line: LogLine, name: string): string | undefined {
  const value = line.fields.get(name)
  return typeof value === 'string' ? value : undefined
}

export function numberOf (line: LogLine, name: string): number | undefined {
  const value = line.fields.get(name)
  return typeof value === 'number' ? value : undefined
}
