// Guards against requests that are reset unread because their listener or their connection closes.
import { connect, type Socket } from 'node:net'
import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { SystemClock } from '@figloom/runtime'
import t, { type Test } from 'tap'
import { freeAddress } from '../testing/free-address.js'
import { HttpServer, splitAddress } from './http-server.js'

const REQUEST = 'GET / HTTP/1.1\r\nHost: test\r\n\r\n'
const MAX_MS = 1_000
const WORK_MS = 2

type Caller = { socket: Socket, /** All that was received, once the connection has closed. */ received: Promise<string> }

function openCaller (address: string): Caller {
  const socket = connect(splitAddress(address))
  let text = ''
  socket.on('data', (chunk) => { text += chunk.toString() })
  socket.on('error', (error: NodeJS.ErrnoException) => { text += error.code })
  return { socket, received: new Promise((resolve) => socket.once('close', () => resolve(text))) }
}

const once = (socket: Socket, event: string) => new Promise((resolve) => socket.once(event, resolve))

/** Closes the connection after each answer, once `isLeaving`, as a stopping host does. */
async function openListener (t: Test, answer = (response: ServerResponse) => { response.end('ok') }, isLeaving = false) {
  const server = HttpServer.create((_, response) => {
    if (isLeaving) response.setHeader('Connection', 'close')
    answer(response)
  }, SystemClock.create())
  server.setLimits({ headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 })
  t.teardown(() => server.destroy())
  const address = await freeAddress()
  await server.listen(address)
  const close = async () => {
    isLeaving = true
    await server.closeListener(MAX_MS)
    await server.closeConnections(MAX_MS)
  }
  return { address, server, close }
}

t.test('connections that the kernel has accepted and the process has not are served before the listener closes', async (t) => {
  const { address, close } = await openListener(t)
  const callers = Array.from({ length: 20 }, () => openCaller(address))
  for (const { socket } of callers) socket.write(REQUEST)
  await close()
  for (const { received } of callers) t.match(await received, /^HTTP\/1.1 200 /)
})

t.test('a request whose connection was accepted and not read yet is served', async (t) => {
  const { address, server, close } = await openListener(t)
  const { socket, received } = openCaller(address)
  while (server.connectionCount === 0) await new Promise((resolve) => setImmediate(resolve))
  const closed = close()
  setTimeout(() => socket.write(REQUEST), 20)
  t.match(await received, /^HTTP\/1.1 200 /)
  await closed
})

t.test('a request that lies unread in a kept connection is served before the connection closes as idle', async (t) => {
  const { address, close } = await openListener(t)
  const { socket, received } = openCaller(address)
  socket.write(REQUEST)
  await once(socket, 'data')
  // The request is written in the phase behind the poll, and closing begins before the next one.
  await new Promise<void>((resolve) => setImmediate(resolve))
  socket.write(REQUEST)
  await close()
  t.equal((await received).match(/HTTP\/1.1 200 /g)?.length, 2)
})

t.test('connections without a request are closed', async (t) => {
  const { address, server, close } = await openListener(t)
  const [kept, silent] = [openCaller(address), openCaller(address)]
  kept.socket.write(REQUEST)
  await once(kept.socket, 'data')
  while (server.connectionCount < 2) await new Promise((resolve) => setImmediate(resolve))
  await close()
  t.match(await kept.received, /ok$/)
  t.equal(await silent.received, '')
})

t.test('an answer in progress is waited for, and closing ends at its bound', async (t) => {
  const responses: ServerResponse[] = []
  const { address, close } = await openListener(t, (response) => {
    responses.push(response)
    if (responses.length === 1) setTimeout(() => response.end('whole'), 300)
  })
  const [first, endless] = [openCaller(address), openCaller(address)]
  first.socket.write(REQUEST)
  while (responses.length === 0) await new Promise((resolve) => setImmediate(resolve))
  endless.socket.write(REQUEST)
  const beganMs = performance.now()
  await close()
  t.ok(performance.now() - beganMs < 2 * MAX_MS + 500)
  t.match(await first.received, /whole/)
  await endless.received
})

t.test('no request is reset while more callers than the process can serve connect again after each answer', async (t) => {
  const { address, close } = await openListener(t, (response) => {
    const endMs = performance.now() + WORK_MS
    while (performance.now() < endMs);
    response.end('ok')
  }, true)
  const lost: string[] = []
  const callUntilRefused = async (): Promise<void> => {
    const { socket, received } = openCaller(address)
    socket.write(REQUEST)
    const text = await received
    if (!/^HTTP\/1.1 200 /.test(text)) lost.push(text)
    else await callUntilRefused()
  }
  const callers = Array.from({ length: 40 }, callUntilRefused)
  await sleep(100)
  await close()
  await Promise.all(callers)
  t.same([...new Set(lost)], ['ECONNREFUSED'])
})
