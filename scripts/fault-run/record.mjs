/** What a run has seen: broken promises, answers, times. */

/** The promises by number. */
export const PROMISES = {
  1: 'memory never overcommitted',
  2: 'a routed model is resident at a live engine',
  3: 'no partial or foreign answer taken as whole',
  4: 'ran: no is true',
  5: 'no key runs twice',
  6: 'nothing new at a leaving backend server after 5 s',
  7: 'graceful shutdown cuts no stream',
  8: 'configuration never goes back and is in force within 11 s'
}

/** An ordinary answer to the second of two calls with one key. */
const KEY_IN_PROGRESS = 4005

export class RunRecord {
  broken = Object.fromEntries(Object.keys(PROMISES).map((number) => [number, 0]))
  requests = {}
  answers = {}
  errors = {}
  takeoverMs = []
  inForceMs = {}
  publications = {}
  events = []
  unreachableMs = {}
  errorSeconds = new Set()
  startMs = performance.now()

  static create (seed) {
    const record = new RunRecord()
    record.seed = seed
    return record
  }

  get nowMs () {
    return Math.round(performance.now() - this.startMs)
  }

  /** Counts a broken promise and prints it. */
  break (promise, details) {
    this.broken[promise] += 1
    console.error(`FAIL promise ${promise} (${PROMISES[promise]}) at ${this.nowMs} ms, seed ${this.seed}: ${JSON.stringify(details)}`)
  }

  /** Notes a fault that was set. */
  event (kind, target, details = {}) {
    const event = { atMs: this.nowMs, kind, target, ...details }
    this.events.push(event)
    console.error(`${String(event.atMs).padStart(7)} ms ${kind} ${target}`)
    return event
  }

  /** Notes in which second a host answered with which code, and prints the first of each second. */
  noteError ({ host, code, ran, message }, query) {
    if (code === KEY_IN_PROGRESS) return
    const name = `${Math.floor(this.nowMs / 1000)} s: ${code} ran ${ran} at ${host} for ${query}`
    if (!this.errorSeconds.has(name)) console.error(`        error ${name}${message === undefined ? '' : `: ${message}`}`)
    this.errorSeconds.add(name)
  }

  count (group, name, by = 1) {
    this[group][name] = (this[group][name] ?? 0) + by
  }
}

/** Median and worst of a list of times; null for none. */
export function summarize (times) {
  const sorted = [...times].sort((a, b) => a - b)
  if (sorted.length === 0) return { count: 0, median: null, worst: null }
  return { count: sorted.length, median: Math.round(sorted[Math.floor((sorted.length - 1) / 2)]), worst: Math.round(sorted.at(-1)) }
}
