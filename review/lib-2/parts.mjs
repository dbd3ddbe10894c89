/** A runner, a client and a record, as small as the cases need them. */
import { appendFileSync, writeFileSync } from 'node:fs'
import { connect, createServer } from 'node:net'

export const HEAD_END = '\r\n\r\n'
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/** Writes record.txt in the folder of a case. */
export class Record {
  #startMs = performance.now()

  constructor (path) {
    this.path = path
    writeFileSync(path, '')
  }

  line (text) {
    const line = `${((performance.now() - this.#startMs) / 1000).toFixed(3).padStart(8)} ${text}`
    appendFileSync(this.path, `${line}\n`)
    console.log(line)
  }
}

/**
 * A sound runner of one service. It reads whole requests, one at a time on a connection, and calls `answer` with each; requests
 * without an id, or for another instance, are rejected as the pages say.
 */
export class Runner {
  /** Requests that ran: id, method, path, body, atMs. */
  runs = []
  #sockets = new Set()

  static async create ({ id, service, ip, port = 0, zone = 'porto-a', slots = 32, answer }) {
    const runner = new Runner()
    Object.assign(runner, { id, service, zone, slots, answer, born: Date.now() })
    runner.server = createServer((socket) => runner.#serve(socket))
    await new Promise((resolve, reject) => runner.server.once('error', reject).listen(port, ip, 1_024, resolve))
    runner.address = `${ip}:${runner.server.address().port}`
    return runner
  }

  /** The runner's entry in the store. */
  entry (sequence, extra = {}) {
    const { service, address, zone, slots, born } = this
    return { service, address, zone, version: 'v1', slots, state: 'ready', coldRemainingMs: 0, sequence, born, ...extra }
  }

  close () {
    for (const socket of this.#sockets) socket.destroy()
    return new Promise((resolve) => this.server.close(resolve))
  }

  #serve (socket) {
    this.#sockets.add(socket)
    let bytes = Buffer.alloc(0)
    socket.on('error', () => {})
    socket.on('close', () => this.#sockets.delete(socket))
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk])
      for (let request = takeRequest(bytes); request !== undefined; request = takeRequest(bytes)) {
        bytes = bytes.subarray(request.length)
        this.#onRequest(socket, request)
      }
    })
  }

  #onRequest (socket, request) {
    const id = request.headers.get('x-request-id')
    const expected = request.headers.get('x-expect-instance')
    if (id === undefined) return socket.write(`HTTP/1.1 400 No Id\r\nX-Not-Executed: 1\r\nContent-Length: 0${HEAD_END}`)
    if (expected !== undefined && expected !== this.id) return socket.write(`HTTP/1.1 421 Other\r\nX-Request-Id: ${id}\r\nX-Not-Executed: 1\r\nX-Instance-Id: ${this.id}\r\nContent-Length: 0${HEAD_END}`)
    this.answer({ socket, id, ...request, run: () => this.runs.push({ id, method: request.method, path: request.path, body: request.body.toString('latin1'), atMs: performance.now() }) })
  }
}

/** The head of a signed answer. */
export const answerHead = (status, id, ...lines) => [`HTTP/1.1 ${status}`, `X-Request-Id: ${id}`, `X-Response-Signature: s.${id}`, ...lines].join('\r\n') + HEAD_END

/** The first whole request in the bytes, with a length or in chunks. */
function takeRequest (bytes) {
  const headEnd = bytes.indexOf(HEAD_END)
  if (headEnd < 0) return undefined
  const [line, ...lines] = bytes.toString('latin1', 0, headEnd).split('\r\n')
  const [method, path] = line.split(' ')
  const headers = new Map(lines.map((text) => [text.slice(0, text.indexOf(':')).toLowerCase(), text.slice(text.indexOf(':') + 1).trim()]))
  const bodyBytes = Number(headers.get('content-length') ?? 0)
  const bodyAt = headEnd + HEAD_END.length
  if (bytes.length < bodyAt + bodyBytes) return undefined
  return { method, path, headers, lines, body: bytes.subarray(bodyAt, bodyAt + bodyBytes), length: bodyAt + bodyBytes }
}

export function open (address) {
  const at = address.lastIndexOf(':')
  const socket = connect(Number(address.slice(at + 1)), address.slice(0, at))
  socket.on('error', () => {})
  return socket
}

/** Sends bytes on a new connection and collects what comes until it closes, a whole answer has come, or the time is over. */
export function exchange (address, bytes, { timeoutMs = 10_000 } = {}) {
  return new Promise((resolve) => {
    const socket = open(address)
    const startMs = performance.now()
    let text = ''
    const finish = (end) => {
      clearTimeout(timer)
      socket.destroy()
      const headEnd = text.indexOf(HEAD_END)
      const status = headEnd < 0 ? undefined : Number(text.slice(9, 12))
      resolve({ status, head: text.slice(0, Math.max(0, headEnd)), body: headEnd < 0 ? '' : text.slice(headEnd + 4), end, tookMs: Math.round(performance.now() - startMs) })
    }
    const timer = setTimeout(() => finish('timeout'), timeoutMs)
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1')
      if (isWholeAnswer(text)) finish('whole')
    })
    socket.on('close', (failed) => finish(failed ? 'reset' : 'closed'))
    socket.write(bytes)
  })
}

function isWholeAnswer (text) {
  const headEnd = text.indexOf(HEAD_END)
  if (headEnd < 0) return false
  const length = /^content-length:\s*(\d+)/im.exec(text.slice(0, headEnd))?.[1]
  if (length !== undefined) return text.length >= headEnd + 4 + Number(length)
  return /^transfer-encoding:\s*chunked/im.test(text.slice(0, headEnd)) && text.endsWith('0\r\n\r\n')
}

/** Waits until a check holds. */
export async function until (check, timeoutMs, intervalMs = 100) {
  const endMs = performance.now() + timeoutMs
  while (performance.now() < endMs) {
    if (await check()) return true
    await sleep(intervalMs)
  }
  return false
}

export async function isReady (gateway) {
  const { status } = await exchange(gateway.ready, `GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close${HEAD_END}`, { timeoutMs: 1_000 })
  return status === 200
}
