/**
 * Checks entries before they enter this host's list of runners. Entries are forwarded in reports to other hosts, so one whose
 * values don't fit their fields there, or that fills a report by itself, would stop all exchanges. Pure functions.
 */
import type { ResidentModel, RunnerEntry } from './types.js'

/** Far more than any runner has. One that stated still more would be chosen for all requests of its service. */
const MAX_SLOTS = 65_536
/** Size of an entry as text. Many times that of the largest entries, and hundreds of these fit into a report. */
const MAX_ENTRY_CHARS = 65_536
/** Ids are sent to runners in a header, which allows printable characters only. */
const PRINTABLE = /^[\x21-\x7e]+$/

/** Whether an entry describes a runner to which requests can be sent, and fits into reports to other hosts. */
export function isUsableEntry (entry: RunnerEntry): boolean {
  const { id, slots, startedUnixMs, remainingMs, models } = entry
  if (!PRINTABLE.test(id)) return false
  if (!isWhole(slots) || slots < 1 || slots > MAX_SLOTS) return false
  if (startedUnixMs !== undefined && !isWhole(startedUnixMs)) return false
  if (remainingMs !== undefined && !(remainingMs >= 0)) return false
  return models.every(isUsableModel) && JSON.stringify(entry).length <= MAX_ENTRY_CHARS
}

function isUsableModel ({ version }: ResidentModel): boolean {
  return isWhole(version)
}

function isWhole (value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0
}
