/**
 * Callers that the operators don't control open connections and send heads of many short lines, each inside the configured limits on
 * heads. Two gateway processes, one after the other; the platform's stand-in restarts them. Ordinary callers send reads meanwhile.
 */
import { fileURLToPath } from 'node:url'
import { Gateway, freePorts, pickNetwork } from '../lib-2/gateway.mjs'
import { answerHead, exchange, HEAD_END, isReady, open, Record, Runner, sleep, until } from '../lib-2/parts.mjs'
import { Store } from '../lib-2/store.mjs'

const TROUBLE = process.env.TROUBLE !== '0'
/** For each machine. */
const RUN_MS = 45_000
const RESTART_MS = 500
const MAX_HEADER_BYTES = 16_384
const HEADER_TIMEOUT_MS = 3_000
/** Connections of the crowd to each machine, which has 4,100 descriptors. */
const CROWD = TROUBLE ? 2_690 : 0
const FINISH_AFTER_MS = 2_700
const HEAD_LINES = 1_780
/** The rule: processes that end by themselves three times, on two machines at least. */
const ENDS = 3

const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)))
const ip = pickNetwork()
const store = await Store.create(ip(1))
const runners = []
for (let index = 0; index < 3; index += 1) runners.push(await Runner.create({ id: `i-${index}`, service: 'app', ip: ip(10 + index), slots: 6, answer }))
const route = { name: 'read', host: 'shop.example', pathPrefix: '/read/', routeType: 'idempotent', timeoutMs: 1_000, targetLatencyMs: 121, priority: 2, service: 'app', attempts: 2, resumable: false }
store.put('keyed.op', 'config', {
  version: 7,
  routes: [route],
  services: [{ name: 'app', healthCheckPath: '/health', maxConnections: 100, protocol: 'h1', tls: false }],
  limits: { maxHeaderBytes: MAX_HEADER_BYTES, maxBodyBytes: 4_194_304, headerTimeoutMs: HEADER_TIMEOUT_MS, idleTimeoutMs: 15_000 }
})
let beats = 0
const heartbeat = () => { for (const runner of runners) store.put('keyed.servers', runner.id, runner.entry(beats)); beats += 1 }
heartbeat()
const timer = setInterval(heartbeat, 1_200)
const ports = await freePorts(ip(20), 5)
const gateways = [20, 21].map((last, index) => new Gateway({ name: `edge-${index + 1}`, ip: ip(last), zone: ['porto-a', 'porto-b'][index], store, ports, seeds: [ip(20), ip(21)] }))
const sockets = new Set()
const state = { isOver: false }
let crowdOf

function answer ({ socket, id, run }) {
  run()
  setTimeout(() => socket.write(answerHead('200 OK', id, 'Content-Length: 2') + 'ok'), 15)
}

/** A head of distinct short lines, without the blank line that ends it. */
function headOf (id) {
  const lines = Array.from({ length: HEAD_LINES }, (_, index) => `a${(index + 1_296).toString(36)}:b${index % 10}\r\n`)
  return `GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 1000\r\n${lines.join('')}`
}

/** One connection of the crowd: its head is whole before the limit on its time. It comes again when it was closed. */
function crowd (gateway, number, round = 0) {
  if (state.isOver || crowdOf !== gateway) return
  const socket = open(gateway.front)
  sockets.add(socket)
  socket.resume()
  socket.write(headOf(`${gateway.name}-${number}-${round}`))
  setTimeout(() => socket.destroyed || socket.write('\r\n'), FINISH_AFTER_MS)
  socket.on('close', () => {
    sockets.delete(socket)
    setTimeout(() => crowd(gateway, number, round + 1), 200)
  })
}

const ends = new Map(gateways.map(({ name }) => [name, 0]))
const peaks = new Map(gateways.map(({ name }) => [name, 0]))
const counts = { answered: 0, failed: 0 }

/** The platform restarts a process that ended. */
async function supervise (gateway) {
  while (!state.isOver) {
    gateway.start()
    const exit = await gateway.ended
    if (state.isOver) return
    ends.set(gateway.name, ends.get(gateway.name) + 1)
    const reason = /FATAL ERROR: [^\n]*/.exec(gateway.log)?.[0] ?? 'no reason in its output'
    record.line(`${gateway.name}: process ended by itself: ${exit}; ${reason}`)
    gateway.log = ''
    await sleep(RESTART_MS)
  }
}

for (const gateway of gateways) supervise(gateway)
const isStarted = await until(async () => (await Promise.all(gateways.map(isReady))).every(Boolean), 20_000)
record.line(`two gateways ${isStarted ? 'are ready' : 'did not become ready'}; trouble: ${TROUBLE}; head of ${headOf('edge-1-0000-0').length + 2} bytes in ${HEAD_LINES + 5} lines, limit ${MAX_HEADER_BYTES}`)
for (const gateway of isStarted ? gateways : []) {
  crowdOf = gateway
  for (let number = 0; number < CROWD; number += 1) crowd(gateway, number)
  const endMs = performance.now() + RUN_MS
  for (let number = 0; performance.now() < endMs && ends.get(gateway.name) < ENDS; number += 1) {
    await sleep(500)
    const { now, peak } = gateway.memoryMb()
    peaks.set(gateway.name, Math.max(peaks.get(gateway.name), peak))
    const { status, end } = await exchange(gateway.front, `GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ordinary-${gateway.name}-${number}\r\nX-Deadline-Ms: 1000\r\nConnection: close${HEAD_END}`, { timeoutMs: 1_000 })
    counts[status === 200 ? 'answered' : 'failed'] += 1
    if (number % 4 === 0) record.line(`${gateway.name}: memory ${now} MB, ordinary read: ${status ?? 'no answer'} (${end})`)
  }
  crowdOf = undefined
  for (const socket of sockets) socket.destroy()
  await sleep(500)
}
state.isOver = true
for (const socket of sockets) socket.destroy()
clearInterval(timer)
await Promise.all(gateways.map((gateway) => gateway.end()))
for (const runner of runners) await runner.close()
await store.close()
const isBroken = [...ends.values()].filter((count) => count >= ENDS).length >= 2
for (const { name } of gateways) record.line(`${name}: ended by itself ${ends.get(name)} times, peak of its memory ${peaks.get(name)} MB of 350`)
record.line(`ordinary reads: ${counts.answered} answered, ${counts.failed} not; requests run: ${runners.reduce((sum, { runs }) => sum + runs.length, 0)}`)
record.line(!isStarted ? 'COULD NOT RUN' : isBroken ? 'BROKEN: processes end by themselves three times on two machines' : 'HELD')
process.exit(!isStarted ? 2 : isBroken ? 1 : 0)
