/** A client of the gateway that notes how its connection ended, since this decides whether an answer without a length is complete. */
import { connect } from 'node:net'
import { HOST_NAME } from './deployment.mjs'

const HEAD_END = '\r\n\r\n'
let requestCount = 0

/** How a client sees that an answer ended. */
export const End = {
  /** By its length or its last chunk, or, without both, by the orderly end of its connection. */
  Complete: 'complete',
  /** The connection ended in order before the answer was whole. */
  Cut: 'connection closed early',
  Reset: 'connection reset'
}

export function newId (prefix) {
  requestCount += 1
  return `${prefix}-${process.pid}-${requestCount}`
}

export function open (address) {
  return connect({ ...address, noDelay: true })
}

/**
 * Sends one request, on a connection of its own unless `socket` is given. The result resolves when the answer is complete or the
 * connection has ended.
 * @param keep the connection stays open after a complete answer
 */
export function send ({ address, socket = open(address), keep = false, method = 'POST', path, id, headers = {}, body = Buffer.alloc(0), deadlineMs }) {
  const answer = { id, status: undefined, headers: {}, body: Buffer.alloc(0), receivedBytes: 0, end: undefined, startedMs: performance.now(), endedMs: undefined }
  const chunks = []
  let head
  answer.done = new Promise((resolve) => {
    const finish = (end) => {
      if (answer.end !== undefined) return
      answer.end = end
      answer.endedMs = performance.now()
      if (head !== undefined) answer.body = decodeBody(Buffer.concat(chunks).subarray(head.bodyAt), head).body
      for (const [event, listener] of Object.entries(listeners)) socket.off(event, listener)
      socket.on('error', () => {})
      if (!keep || end !== End.Complete) socket.destroy()
      resolve(answer)
    }
    const check = () => {
      if (head === undefined) {
        const text = Buffer.concat(chunks).toString('latin1')
        if (!text.includes(HEAD_END)) return
        head = parseHead(text)
        answer.status = head.status
        answer.headers = head.headers
      }
      if (answer.receivedBytes < head.bodyAt + (head.length ?? 0)) return
      if (decodeBody(Buffer.concat(chunks).subarray(head.bodyAt), head).whole) finish(End.Complete)
    }
    const take = (chunk) => {
      chunks.push(chunk)
      answer.receivedBytes += chunk.length
      check()
    }
    const listeners = {
      data: take,
      end: () => {
        const isUnframed = head !== undefined && head.length === undefined && !head.chunked
        finish(isUnframed ? End.Complete : End.Cut)
      },
      error: () => finish(End.Reset),
      close: () => finish(End.Cut)
    }
    for (const [event, listener] of Object.entries(listeners)) socket.on(event, listener)
  })
  const fields = { Host: HOST_NAME, 'X-Request-Id': id, 'X-Deadline-Ms': deadlineMs, ...headers }
  if (body.length > 0 || method === 'POST') fields['Content-Length'] = body.length
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  socket.write(`${method} ${path} HTTP/1.1\r\n${lines}\r\n`)
  if (body.length > 0) socket.write(body)
  return answer
}

function parseHead (text) {
  const end = text.indexOf(HEAD_END)
  const [first, ...lines] = text.slice(0, end).split('\r\n')
  const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const length = headers['content-length'] === undefined ? undefined : Number(headers['content-length'])
  return { status: Number(first.split(' ')[1]), headers, length, chunked: headers['transfer-encoding'] === 'chunked', bodyAt: end + HEAD_END.length }
}

function decodeBody (bytes, { length, chunked }) {
  if (length !== undefined) return { body: bytes, whole: bytes.length >= length }
  if (!chunked) return { body: bytes, whole: false }
  const parts = []
  for (let at = 0; ;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    if (lineEnd < 0) return { body: Buffer.concat(parts), whole: false }
    const size = parseInt(bytes.toString('latin1', at, lineEnd), 16)
    const start = lineEnd + 2
    if (size === 0) return { body: Buffer.concat(parts), whole: bytes.length >= start + 2 }
    parts.push(bytes.subarray(start, start + size))
    if (bytes.length < start + size + 2) return { body: Buffer.concat(parts), whole: false }
    at = start + size + 2
  }
}
