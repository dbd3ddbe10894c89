/**
 * Stand-in of the platform's metadata store: a log with keyed and plain topics, conditional appends and reads that wait. It serves
 * what PROTOCOL.md, "The platform's metadata store", says of the calls that the gateway makes, and nothing goes wrong in it.
 */
import { createServer } from 'node:http'

const LENGTH_BYTES = 4

export class Store {
  #topics = new Map()
  #server
  #timers = new Set()

  static async start (ip) {
    const store = new Store()
    store.#server = createServer((request, response) => {
      store.#serve(request, response).catch(() => response.destroy())
    })
    store.#server.keepAliveTimeout = 60_000
    await new Promise((resolve, reject) => store.#server.once('error', reject).listen(0, ip, resolve))
    store.address = `${ip}:${store.#server.address().port}`
    return store
  }

  /** Writes the newest record of a key. */
  put (topic, key, value) {
    this.#push(this.#topic(topic), encodeKeyed(key, Buffer.from(JSON.stringify(value))))
  }

  drop (topic, key) {
    this.#push(this.#topic(topic), encodeKeyed(key, Buffer.alloc(0)))
  }

  stop () {
    for (const timer of this.#timers) clearTimeout(timer)
    this.#server.closeAllConnections()
    this.#server.close()
  }

  async #serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const url = new URL(request.url, 'http://store')
    if (url.pathname === '/log-append') return this.#append(url, Buffer.concat(chunks), response)
    if (url.pathname === '/log-newest') return this.#newest(url, response)
    if (url.pathname === '/log-read') return this.#read(url, response)
    response.writeHead(404).end()
  }

  #append (url, body, response) {
    const topic = this.#topic(url.searchParams.get('topic'))
    const at = url.searchParams.get('at')
    if (at !== null && Number(at) !== topic.records.length) return json(response, 412, { end: topic.records.length })
    const offset = topic.records.length
    for (let from = 0; from + LENGTH_BYTES <= body.length;) {
      const end = from + LENGTH_BYTES + body.readUInt32BE(from)
      this.#push(topic, body.subarray(from + LENGTH_BYTES, end))
      from = end
    }
    json(response, 200, { offset, end: topic.records.length })
  }

  #newest (url, response) {
    const { records } = this.#topic(url.searchParams.get('topic'))
    const items = new Map()
    records.forEach((record, offset) => {
      const key = record.toString('utf8', 1, 1 + record[0])
      const value = record.subarray(1 + record[0])
      if (value.length === 0) items.delete(key)
      else items.set(key, { key, value: value.toString('base64'), offset })
    })
    json(response, 200, { items: [...items.values()], more: false, end: records.length })
  }

  #read (url, response) {
    const topic = this.#topic(url.searchParams.get('topic'))
    const from = Number(url.searchParams.get('from'))
    const waitMs = Number(url.searchParams.get('waitMs') ?? 0)
    const answer = () => {
      clearTimeout(timer)
      this.#timers.delete(timer)
      topic.waiting.delete(answer)
      if (!response.destroyed) response.end(encodeRead(topic.records, from))
    }
    const timer = setTimeout(answer, waitMs)
    this.#timers.add(timer)
    response.once('close', () => topic.waiting.delete(answer))
    if (from < topic.records.length || waitMs === 0) answer()
    else topic.waiting.add(answer)
  }

  #push (topic, record) {
    topic.records.push(record)
    for (const answer of [...topic.waiting]) answer()
  }

  #topic (name) {
    const known = this.#topics.get(name) ?? { records: [], waiting: new Set() }
    this.#topics.set(name, known)
    return known
  }
}

function encodeKeyed (key, value) {
  const name = Buffer.from(key)
  return Buffer.concat([Buffer.from([name.length]), name, value])
}

/** End and first offset, eight bytes each, then each record after its length. */
function encodeRead (records, from) {
  const head = Buffer.alloc(16)
  head.writeBigUInt64BE(BigInt(records.length), 0)
  const parts = records.slice(from).flatMap((record) => {
    const length = Buffer.alloc(LENGTH_BYTES)
    length.writeUInt32BE(record.length)
    return [length, record]
  })
  return Buffer.concat([head, ...parts])
}

function json (response, status, body) {
  response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
}
