/** Collects the observations of a run: broken promises, responses, times. */

/** Guarantees of the system that a run checks, by number; the report calls them promises. */
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

/** Error code of a call whose idempotency key another call is using; expected when two calls share a key. */
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

  /** Counts a broken promise and prints it to stderr. */
  recordViolation (promise, details) {
    this.broken[promise] += 1
    console.error(`FAIL promise ${promise} (${PROMISES[promise]}) at ${this.nowMs} ms, seed ${this.seed}: ${JSON.stringify(details)}`)
  }

  /** Records an injected fault, or its end, and prints it to stderr. */
  event (kind, target, details = {}) {
    const event = { atMs: this.nowMs, kind, target, ...details }
    this.events.push(event)
    console.error(`${String(event.atMs).padStart(7)} ms ${kind} ${target}`)
    return event
  }

  /** Prints an error to stderr, but equal errors (code, host, query) only once a second. */
  recordError ({ host, code, ran, message }, query) {
    if (code === KEY_IN_PROGRESS) return
    const name = `${Math.floor(this.nowMs / 1000)} s: ${code} ran ${ran} at ${host} for ${query}`
    if (!this.errorSeconds.has(name)) console.error(`        error ${name}${message === undefined ? '' : `: ${message}`}`)
    this.errorSeconds.add(name)
  }

  count (group, name, by = 1) {
    this[group][name] = (this[group][name] ?? 0) + by
  }
}

/** Median and maximum of a list of times; null if it is empty. */
export function summarize (times) {
  const sorted = [...times].sort((a, b) => a - b)
  if (sorted.length === 0) return { count: 0, median: null, worst: null }
  return { count: sorted.length, median: Math.round(sorted[Math.floor((sorted.length - 1) / 2)]), worst: Math.round(sorted.at(-1)) }
}
