/** Field types of settings schemas. Each takes its description, and its default value if it can have one. */
import { z } from 'zod'

/** Inclusive bounds of a number. */
type Bounds = { min?: number, max?: number }

/** Longest delay that a timer of Node.js supports, in milliseconds. */
const MAX_TIMER_MS = 2 ** 31 - 1

/** Non-empty text without leading or trailing space. */
export function text (meaning: string) {
  return z.string().min(1, 'must not be empty').regex(/^\S(.*\S)?$/, 'must not start or end with a space').describe(meaning)
}

/** Name of a host, zone, pool or the like: letters, digits, `.`, `_`, `-` and `/`. */
export function name (meaning: string) {
  return z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._/-]{0,99}$/, 'must be a name of letters, digits, . _ / - (100 at most)').describe(meaning)
}

/** Integer with a default. */
export function integer (defaultValue: number, meaning: string, { min = 1, max = Number.MAX_SAFE_INTEGER }: Bounds = {}) {
  return z.int().min(min, `must be at least ${min}`).max(max, `must be at most ${max}`).default(defaultValue).describe(meaning)
}

/** Duration in milliseconds with a default. */
export function milliseconds (defaultValue: number, meaning: string, { min = 1, max = MAX_TIMER_MS }: Bounds = {}) {
  return integer(defaultValue, meaning, { min, max })
}

/** Decimal number with a default. */
export function decimal (defaultValue: number, meaning: string, { min = 0, max = Number.MAX_SAFE_INTEGER }: Bounds = {}) {
  return z.number().min(min, `must be at least ${min}`).max(max, `must be at most ${max}`).default(defaultValue).describe(meaning)
}

/** Ratio from 0 to 1 with a default. */
export function ratio (defaultValue: number, meaning: string) {
  return decimal(defaultValue, meaning, { min: 0, max: 1 })
}

/** Boolean with a default. */
export function flag (defaultValue: boolean, meaning: string) {
  return z.boolean().default(defaultValue).describe(meaning)
}

/** Listen address as `host:port`, with IPv6 addresses in brackets; port 0 lets the system choose a free port. */
export function listenAddress (meaning: string) {
  return z.string().refine((value) => parseAddress(value) !== undefined, 'must be host:port').describe(meaning)
}

/** Absolute http or https URL. */
export function httpUrl (meaning: string) {
  return z.string().refine(isHttpUrl, 'must be an http:// or https:// URL').describe(meaning)
}

/** Host and port of a listen address. */
export type ListenAddress = { host: string, port: number }

/** Parses `host:port`; undefined if the text has another form. */
export function parseAddress (address: string): ListenAddress | undefined {
  const match = /^(?:\[([0-9A-Fa-f:.]+)\]|([A-Za-z0-9.-]+)):(\d{1,5})$/.exec(address)
  if (match === null) return undefined
  const port = Number(match[3])
  if (port > 65535) return undefined
  return { host: match[1] ?? match[2] ?? '', port }
}

const WILDCARD_HOSTS: readonly string[] = ['0.0.0.0', '::']

/** Whether two listeners need the same port on the same host, or one of them on a wildcard host. Port 0 never clashes. */
export function addressesClash (a: ListenAddress, b: ListenAddress): boolean {
  if (a.port !== b.port || a.port === 0) return false
  return a.host === b.host || WILDCARD_HOSTS.includes(a.host) || WILDCARD_HOSTS.includes(b.host)
}

/** Whether a text is an absolute http or https URL. */
export function isHttpUrl (value: string): boolean {
  return URL.canParse(value) && /^https?:$/.test(new URL(value).protocol)
}
