/** Simulated callers: lookups, generations and bookings with idempotency keys. A request is retried only where that is safe. */
import { answerText, toPrompt } from '@figloom/standin'
import { getJson, sleep } from './http.mjs'
import { ROUTES } from './tables.mjs'

const RESPONSE_TIMEOUT_MS = 12_000
const CALL_TIMEOUT_MS = 15_000
const MAX_TOKENS = 24
const NO_RUNNER = 2003
const UNSERVED_LIMIT_MS = 1000

export class Callers {
  /** Failed requests whose error said `ran: no`, by request id. */
  notRun = new Map()
  /** Result of every attempt by idempotency key: `answered`, or the `ran` field of the error. */
  keys = new Map()
  inFlight = 0
  #lookups = new Map()
  #requestNumber = 0
  #unserved = new Map()

  constructor (cluster, record, random) {
    Object.assign(this, { cluster, record, random })
  }

  /** Sends one random request: 50% streamed generations, 30% generations in one response, 20% bookings. */
  async sendOne () {
    const draw = this.random()
    this.inFlight += 1
    try {
      if (draw < 0.5) await this.#generate(true)
      else if (draw < 0.8) await this.#generate(false)
      else await this.#book()
    } finally {
      this.inFlight -= 1
    }
  }

  async #generate (stream) {
    const model = ROUTES[Math.floor(this.random() * ROUTES.length)]
    const messages = [{ role: 'user', content: `request ${this.record.seed}-${this.#requestNumber++}` }]
    const body = JSON.stringify({ model, stream, max_tokens: MAX_TOKENS, messages })
    const expected = answerText(toPrompt(messages), MAX_TOKENS)
    const kind = stream ? 'streamed' : 'whole'
    const outcome = await this.#retryWhileNotRun(kind, `model=${model}`, '/v1/chat/completions', { body }, (response) => stream ? readStream(response) : readWhole(response))
    if (outcome.text !== undefined && outcome.text !== expected) this.record.recordViolation(3, { kind, host: outcome.host, id: outcome.id, text: outcome.text, expected })
    if (outcome.text === undefined && outcome.ran !== 'no') this.onIncomplete?.({ kind, ...outcome })
    this.record.count('answers', `${kind} ${outcome.text === undefined ? `failed (ran ${outcome.ran})` : 'whole'}`)
  }

  async #book () {
    const key = `key-${this.record.seed}-${this.#requestNumber++}`
    const body = JSON.stringify({ key })
    const reported = []
    this.keys.set(key, reported)
    await Promise.all([0, 1].map(async (rank) => {
      const options = { headers: { 'idempotency-key': key }, body, rank }
      const outcome = await this.#retryWhileNotRun('booking', 'service=bookings', '/v1/services/bookings/slots', options, async (response) => ({ text: await response.text() }), reported)
      if (outcome.text !== undefined && JSON.parse(outcome.text).key !== key) this.record.recordViolation(3, { kind: 'booking', key, text: outcome.text })
      this.record.count('answers', `booking ${outcome.text === undefined ? `failed (ran ${outcome.ran}, ${outcome.code})` : 'whole'}`)
    }))
  }

  async #retryWhileNotRun (kind, query, path, { headers = {}, body, rank = 0 }, read, reported = []) {
    const untilMs = performance.now() + CALL_TIMEOUT_MS
    for (let attempts = 0; ; attempts += 1) {
      const host = await this.#hostFor(query, rank + attempts)
      this.record.count('requests', kind)
      const outcome = host === undefined ? { ran: 'no', code: 'no host' } : await send(host, path, { headers, body }, read)
      reported.push(outcome.text === undefined ? outcome.ran : 'answered')
      if (outcome.text !== undefined) this.#unserved.delete(query)
      else if (outcome.code === NO_RUNNER) this.#trackUnserved(query, outcome)
      if (outcome.text !== undefined) return outcome
      this.record.count('errors', `${outcome.code} ran ${outcome.ran}`)
      this.record.recordError(outcome, query)
      if (outcome.ran === 'no' && outcome.id !== undefined) this.notRun.set(outcome.id, { host: outcome.host, code: outcome.code, atMs: this.record.nowMs })
      const mayRetry = outcome.ran === 'no' || outcome.code === 4005
      if (!mayRetry || performance.now() > untilMs) return outcome
      await sleep(Math.min(1000, outcome.retryAfterMs ?? 100))
      if (outcome.transport) this.#lookups.delete(query)
    }
  }

  /** Records a violation when, for longer than a second, callers get no result for a route but errors that no runner serves it. */
  #trackUnserved (query, { host, message }) {
    const nowMs = performance.now()
    const outage = this.#unserved.get(query) ?? { fromMs: nowMs, broken: false }
    this.#unserved.set(query, outage)
    const lastedMs = Math.round(nowMs - outage.fromMs)
    if (lastedMs <= UNSERVED_LIMIT_MS) return
    this.record.unreachableMs[query] = Math.max(this.record.unreachableMs[query] ?? 0, lastedMs)
    if (!outage.broken) this.record.recordViolation(2, { query, host, message })
    outage.broken = true
  }

  /** A host from the cached lookup; repeats the lookup at any live host when the cache entry has expired. */
  async #hostFor (query, rank) {
    const cached = this.#lookups.get(query)
    if (cached === undefined || performance.now() > cached.untilMs) {
      const response = await this.#lookup(query)
      if (response !== undefined) this.#lookups.set(query, { untilMs: performance.now() + response.ttlMs, hosts: response.hosts })
      else this.#lookups.delete(query)
    }
    const hosts = this.#lookups.get(query)?.hosts ?? []
    return hosts.length === 0 ? undefined : hosts[rank % hosts.length]
  }

  async #lookup (query) {
    const { hosts } = this.cluster
    const start = Math.floor(this.random() * hosts.length)
    for (const index of hosts.keys()) {
      const { callerUrl } = hosts[(start + index) % hosts.length].ready.listening
      const response = await getJson(`${callerUrl}/v1/lookup?${query}`, 500).catch(() => undefined)
      if (response !== undefined && response.hosts.length > 0) return response
    }
    return undefined
  }
}

async function send ({ host, url }, path, { headers, body }, read) {
  let id
  try {
    const response = await fetch(url + path, {
      method: 'POST', headers: { 'content-type': 'application/json', ...headers }, body, signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS)
    })
    id = response.headers.get('figloom-request-id') ?? undefined
    if (response.ok) return { host, id, ...await read(response) }
    const { error } = await response.json()
    return { host, id, ...(error?.ran === undefined ? { ran: 'unknown', code: response.status } : error) }
  } catch (error) {
    const code = error.cause?.code ?? error.name
    return { host, id, transport: true, code, ran: code === 'ECONNREFUSED' ? 'no' : 'unknown' }
  }
}

async function readWhole (response) {
  return { text: (await response.json()).choices[0].message.content }
}

/** The text of a stream that ends with its end marker, otherwise the error of the stream. */
async function readStream (response) {
  const events = (await response.text()).split('\n\n').filter((event) => event !== '')
  const failed = events.find((event) => event.startsWith('event: error'))
  if (events.at(-1) !== 'data: [DONE]') {
    const data = failed?.split('\n').find((line) => line.startsWith('data: '))
    return data === undefined ? { ran: 'unknown', code: 'no end' } : JSON.parse(data.slice('data: '.length)).error
  }
  return { text: events.slice(0, -1).map((event) => JSON.parse(event.slice('data: '.length)).choices[0].delta.content ?? '').join('') }
}
