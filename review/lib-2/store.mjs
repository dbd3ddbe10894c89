/** Stand-in of the platform's store, as PROTOCOL.md describes it: a log with plain and keyed topics of one partition each. */
import { createServer } from 'node:http'

const HEADER_BYTES = 16

export class Store {
  /** Called with each call before it is carried out; may return 'silent', 'reset', a status, or a promise of one. */
  intercept = () => undefined
  #topics = new Map()
  #server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => { this.#serve(request, response).catch(() => response.destroy()) })

  static async create (ip) {
    const store = new Store()
    await new Promise((resolve, reject) => store.#server.once('error', reject).listen(0, ip, resolve))
    const { address, port } = store.#server.address()
    store.address = `${address}:${port}`
    return store
  }

  put (topic, key, value) {
    this.#push(topic, keyed(key, value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value))))
  }

  /** The newest value of a key. */
  newest (topic, key) {
    const name = Buffer.from(key)
    const record = this.#topic(topic).records.findLast((content) => content.subarray(1, 1 + content[0]).equals(name))
    return JSON.parse(record.subarray(1 + name.length).toString())
  }

  /** The values of a topic that are JSON. */
  records (topic) {
    return this.#topic(topic).records.map((content) => JSON.parse(content.toString()))
  }

  close () {
    this.#server.closeAllConnections()
    return new Promise((resolve) => this.#server.close(resolve))
  }

  async #serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const url = new URL(request.url, 'http://store')
    const order = await this.intercept({ url, request, body: Buffer.concat(chunks) })
    if (order === 'silent') return
    if (order === 'reset') return request.socket.resetAndDestroy()
    if (typeof order === 'number') return response.writeHead(order).end()
    const topic = this.#topic(url.searchParams.get('topic') ?? '')
    if (url.pathname === '/log-append') return this.#append(url, topic, Buffer.concat(chunks), response)
    if (url.pathname === '/log-newest') return this.#newest(topic, response)
    if (url.pathname === '/log-read') return await this.#read(url, topic, response)
    response.writeHead(404).end()
  }

  #append (url, topic, body, response) {
    const at = url.searchParams.get('at')
    if (at !== null && Number(at) !== topic.records.length) return json(response, 412, { end: topic.records.length })
    const offset = topic.records.length
    for (let from = 0; from < body.length;) {
      const length = body.readUInt32BE(from)
      this.#push(url.searchParams.get('topic'), body.subarray(from + 4, from + 4 + length))
      from += 4 + length
    }
    json(response, 200, { offset, end: topic.records.length })
  }

  #newest (topic, response) {
    const items = new Map()
    topic.records.forEach((content, offset) => {
      const keyBytes = content[0]
      const key = content.toString('utf8', 1, 1 + keyBytes)
      const value = content.subarray(1 + keyBytes)
      if (value.length === 0) items.delete(key)
      else items.set(key, { key, value: value.toString('base64'), offset })
    })
    json(response, 200, { items: [...items.values()], more: false, end: topic.records.length })
  }

  async #read (url, topic, response) {
    const from = Number(url.searchParams.get('from'))
    const waitMs = Number(url.searchParams.get('waitMs') ?? 0)
    if (from >= topic.records.length && waitMs > 0) await this.#untilWritten(topic, response, waitMs)
    if (response.destroyed) return
    const head = Buffer.alloc(HEADER_BYTES)
    head.writeBigUInt64BE(BigInt(topic.records.length), 0)
    const parts = topic.records.slice(from).flatMap((content) => {
      const length = Buffer.alloc(4)
      length.writeUInt32BE(content.length)
      return [length, content]
    })
    response.writeHead(200, { 'Content-Type': 'application/octet-stream' }).end(Buffer.concat([head, ...parts]))
  }

  #untilWritten (topic, response, waitMs) {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer)
        topic.waiting.delete(done)
        resolve()
      }
      const timer = setTimeout(done, waitMs)
      topic.waiting.add(done)
      response.once('close', done)
    })
  }

  #push (name, content) {
    const topic = this.#topic(name)
    topic.records.push(Buffer.from(content))
    for (const done of [...topic.waiting]) done()
  }

  #topic (name) {
    const known = this.#topics.get(name)
    if (known !== undefined) return known
    const topic = { records: [], waiting: new Set() }
    this.#topics.set(name, topic)
    return topic
  }
}

function keyed (key, value) {
  const name = Buffer.from(key)
  return Buffer.concat([Buffer.from([name.length]), name, value])
}

function json (response, status, body) {
  response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
}
