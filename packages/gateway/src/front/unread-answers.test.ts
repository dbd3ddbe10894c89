/** Guards against callers that read nothing: their answers and connections would be kept for ever. */
import { connect, type Socket } from 'node:net'
import type { ServerResponse } from 'node:http'
import { SystemClock } from '@figloom/runtime'
import t, { type Test } from 'tap'
import { freeAddress } from '../testing/free-address.js'
import { HttpServer, splitAddress, type UnexpectedClose } from './http-server.js'

const LIMITS = { headerTimeoutMs: 3_000, idleTimeoutMs: 100 }
const UNREAD_MS = 600
/** Far more than the kernel's buffers of one connection. */
const ANSWER_BYTES = 48_000_000
const PIECE_BYTES = 65_536
const REQUEST = 'GET / HTTP/1.1\r\nHost: test\r\n\r\n'

function sleep (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

async function waitFor (condition: () => boolean): Promise<boolean> {
  const endMs = performance.now() + 5_000
  while (!condition() && performance.now() < endMs) await sleep(5)
  return condition()
}

/** A listener, and a caller that has sent a request and reads nothing. */
async function createScene (t: Test, answer: (response: ServerResponse) => void) {
  const closes: UnexpectedClose[] = []
  const server = HttpServer.create((_, response) => answer(response), SystemClock.create(), { minUnreadMs: UNREAD_MS, onUnexpectedClose: (close) => closes.push(close) })
  t.teardown(() => server.destroy())
  server.setLimits(LIMITS)
  const address = await freeAddress()
  await server.listen(address)
  const { host, port } = splitAddress(address)
  const socket = connect({ host, port })
  t.teardown(() => { socket.destroy() })
  socket.on('error', () => {})
  socket.pause()
  socket.write(REQUEST)
  return { server, socket, closes }
}

/** Writes for as long as the caller reads. */
function writeWithoutEnd (response: ServerResponse): void {
  const piece = Buffer.alloc(PIECE_BYTES, 'x')
  const write = () => { while (response.write(piece)); }
  response.on('drain', write)
  write()
}

/** Takes a part of what has arrived, several times within the time after which a caller that reads nothing is closed. */
async function readSlowly (socket: Socket, isDone: () => boolean): Promise<number> {
  let bytes = 0
  socket.on('data', (chunk) => { bytes += chunk.length })
  const endMs = performance.now() + 20_000
  while (!isDone() && performance.now() < endMs) {
    const untilBytes = bytes + ANSWER_BYTES / 20
    socket.resume()
    await waitFor(() => bytes >= untilBytes || isDone())
    socket.pause()
    await sleep(UNREAD_MS / 4)
  }
  return bytes
}

for (const [name, answer] of [
  ['a complete answer', (response: ServerResponse) => { response.end(Buffer.alloc(ANSWER_BYTES, 'x')) }],
  ['an answer in progress', writeWithoutEnd],
  ['an answer that is broken off', (response: ServerResponse) => {
    response.write(Buffer.alloc(ANSWER_BYTES, 'x'))
    response.socket?.destroySoon()
  }]
] as const) {
  t.test(`a caller that takes no byte of ${name} is closed`, async (t) => {
    const { server, closes } = await createScene(t, answer)
    t.ok(await waitFor(() => server.connectionCount === 1))
    t.ok(await waitFor(() => server.connectionCount === 0))
    t.match(closes, [{ unread: true }])
    t.equal(closes.length, 1)
  })
}

t.test('a caller that reads slowly receives the whole answer', async (t) => {
  let isWritten = false
  const { socket, closes } = await createScene(t, (response) => {
    response.setHeader('Content-Length', ANSWER_BYTES)
    response.end(Buffer.alloc(ANSWER_BYTES, 'x'), () => { isWritten = true })
  })
  const startMs = performance.now()
  let isClosed = false
  socket.on('close', () => { isClosed = true })
  const bytes = await readSlowly(socket, () => isClosed)
  t.ok(performance.now() - startMs > 2 * UNREAD_MS)
  t.ok(isWritten)
  t.ok(bytes > ANSWER_BYTES)
  t.same(closes, [])
})

t.test('a caller that has read everything is not closed while its answer is not complete', async (t) => {
  const responses: ServerResponse[] = []
  const { socket, closes } = await createScene(t, (response) => {
    responses.push(response)
    response.write('begun ')
  })
  let text = ''
  socket.on('data', (chunk) => { text += chunk.toString() })
  socket.resume()
  await waitFor(() => text.includes('begun'))
  await sleep(3 * UNREAD_MS)
  responses[0]?.end('ended')
  t.ok(await waitFor(() => text.includes('ended')))
  t.same(closes, [])
})
