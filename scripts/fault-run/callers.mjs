/** Callers: lookup, generations and keyed bookings; a request is repeated only where that is safe. */
import { answerText, toPrompt } from '@figloom/standin'
import { getJson, sleep } from './http.mjs'
import { ROUTES } from './tables.mjs'

const ANSWER_TIMEOUT_MS = 12_000
const CALL_MS = 15_000
const MAX_TOKENS = 24
const NO_RUNNER = 2003
const UNSERVED_MS = 1000

export class Callers {
  /** Requests that were told `ran: no`, by request id, and keys with what each of their sends was told. */
  notRun = new Map()
  keys = new Map()
  inFlight = 0
  #lookups = new Map()
  #number = 0
  #unserved = new Map()

  constructor (cluster, record, random) {
    Object.assign(this, { cluster, record, random })
  }

  /** Sends one request of the mix: a half streamed, three tenths whole, the rest bookings. */
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
    const messages = [{ role: 'user', content: `request ${this.record.seed}-${this.#number++}` }]
    const body = JSON.stringify({ model, stream, max_tokens: MAX_TOKENS, messages })
    const expected = answerText(toPrompt(messages), MAX_TOKENS)
    const kind = stream ? 'streamed' : 'whole'
    const outcome = await this.#repeatWhileNotRun(kind, `model=${model}`, '/v1/chat/completions', { body }, (answer) => stream ? readStream(answer) : readWhole(answer))
    if (outcome.text !== undefined && outcome.text !== expected) this.record.break(3, { kind, host: outcome.host, id: outcome.id, text: outcome.text, expected })
    if (outcome.text === undefined && outcome.ran !== 'no') this.onBroken?.({ kind, ...outcome })
    this.record.count('answers', `${kind} ${outcome.text === undefined ? `failed (ran ${outcome.ran})` : 'whole'}`)
  }

  async #book () {
    const key = `key-${this.record.seed}-${this.#number++}`
    const body = JSON.stringify({ key })
    const told = []
    this.keys.set(key, told)
    await Promise.all([0, 1].map(async (rank) => {
      const options = { headers: { 'idempotency-key': key }, body, rank }
      const outcome = await this.#repeatWhileNotRun('booking', 'service=bookings', '/v1/services/bookings/slots', options, async (answer) => ({ text: await answer.text() }), told)
      if (outcome.text !== undefined && JSON.parse(outcome.text).key !== key) this.record.break(3, { kind: 'booking', key, text: outcome.text })
      this.record.count('answers', `booking ${outcome.text === undefined ? `failed (ran ${outcome.ran}, ${outcome.code})` : 'whole'}`)
    }))
  }

  async #repeatWhileNotRun (kind, query, path, { headers = {}, body, rank = 0 }, read, told = []) {
    const untilMs = performance.now() + CALL_MS
    for (let tries = 0; ; tries += 1) {
      const host = await this.#hostFor(query, rank + tries)
      this.record.count('requests', kind)
      const outcome = host === undefined ? { ran: 'no', code: 'no host' } : await send(host, path, { headers, body }, read)
      told.push(outcome.text === undefined ? outcome.ran : 'answered')
      if (outcome.text !== undefined) this.#unserved.delete(query)
      else if (outcome.code === NO_RUNNER) this.#noteUnserved(query, outcome)
      if (outcome.text !== undefined) return outcome
      this.record.count('errors', `${outcome.code} ran ${outcome.ran}`)
      this.record.noteError(outcome, query)
      if (outcome.ran === 'no' && outcome.id !== undefined) this.notRun.set(outcome.id, { host: outcome.host, code: outcome.code, atMs: this.record.nowMs })
      const mayRepeat = outcome.ran === 'no' || outcome.code === 4005
      if (!mayRepeat || performance.now() > untilMs) return outcome
      await sleep(Math.min(1000, outcome.retryAfterMs ?? 100))
      if (outcome.transport) this.#lookups.delete(query)
    }
  }

  /** Counts a route for which callers hear that no runner serves it, and nothing else, for longer than a second. */
  #noteUnserved (query, { host, message }) {
    const nowMs = performance.now()
    const span = this.#unserved.get(query) ?? { fromMs: nowMs, broken: false }
    this.#unserved.set(query, span)
    const lastedMs = Math.round(nowMs - span.fromMs)
    if (lastedMs <= UNSERVED_MS) return
    this.record.unreachableMs[query] = Math.max(this.record.unreachableMs[query] ?? 0, lastedMs)
    if (!span.broken) this.record.break(2, { query, host, message })
    span.broken = true
  }

  /** A host of a kept lookup; asks any live host for a new one when it is too old. */
  async #hostFor (query, rank) {
    const kept = this.#lookups.get(query)
    if (kept === undefined || performance.now() > kept.untilMs) {
      const answer = await this.#lookup(query)
      if (answer !== undefined) this.#lookups.set(query, { untilMs: performance.now() + answer.ttlMs, hosts: answer.hosts })
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
      const answer = await getJson(`${callerUrl}/v1/lookup?${query}`, 500).catch(() => undefined)
      if (answer !== undefined && answer.hosts.length > 0) return answer
    }
    return undefined
  }
}

async function send ({ host, url }, path, { headers, body }, read) {
  let id
  try {
    const answer = await fetch(url + path, {
      method: 'POST', headers: { 'content-type': 'application/json', ...headers }, body, signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS)
    })
    id = answer.headers.get('figloom-request-id') ?? undefined
    if (answer.ok) return { host, id, ...await read(answer) }
    const { error } = await answer.json()
    return { host, id, ...(error?.ran === undefined ? { ran: 'unknown', code: answer.status } : error) }
  } catch (error) {
    const code = error.cause?.code ?? error.name
    return { host, id, transport: true, code, ran: code === 'ECONNREFUSED' ? 'no' : 'unknown' }
  }
}

async function readWhole (answer) {
  return { text: (await answer.json()).choices[0].message.content }
}

/** The text of a stream that says it is whole; else its error. */
async function readStream (answer) {
  const events = (await answer.text()).split('\n\n').filter((event) => event !== '')
  const failed = events.find((event) => event.startsWith('event: error'))
  if (events.at(-1) !== 'data: [DONE]') {
    const data = failed?.split('\n').find((line) => line.startsWith('data: '))
    return data === undefined ? { ran: 'unknown', code: 'no end' } : JSON.parse(data.slice('data: '.length)).error
  }
  return { text: events.slice(0, -1).map((event) => JSON.parse(event.slice('data: '.length)).choices[0].delta.content ?? '').join('') }
}
