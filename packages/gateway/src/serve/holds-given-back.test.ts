/** Guards against memory that stays counted: random answers, callers that leave at random times, and too little room for all. */
import { connect } from 'node:net'
import t from 'tap'
import { RouteKind } from '../config/types.js'
import { ByteBudget, ByteKind, type ByteHold } from '../memory/byte-budget.js'
import { createUnlimitedBudgets } from '../memory/memory-budgets.js'
import { createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'

const SEED = 52
const REQUESTS = 800
const AT_ONCE = 60
const LIMIT_BYTES = 500_000
const SERVICE = { name: 'plain', maxConnections: 500 }
const TIMEOUT_MS = 500
const WITHIN_MS = 5_000
const routes = [
  createRoute({ name: 'read', pathPrefix: '/read/', timeoutMs: TIMEOUT_MS }),
  createRoute({ name: 'book', pathPrefix: '/book/', kind: RouteKind.NonIdempotent, maxAttempts: 1, timeoutMs: TIMEOUT_MS }),
  createRoute({ name: 'stream', pathPrefix: '/stream/', kind: RouteKind.Stream, resumable: true, maxAttempts: 3, maxPauseMs: 60, timeoutMs: TIMEOUT_MS })
]

/** Numbers from 0 to 1 in a fixed order. */
function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648
    return state / 2_147_483_648
  }
}

const random = createRandom(SEED)
const below = (limit: number) => Math.floor(random() * limit)
const pick = <Value>(values: readonly Value[]): Value => values[below(values.length)] as Value

/** A budget that remembers its holds. */
function createBudget (kind: ByteKind): { budget: ByteBudget, holds: Set<ByteHold> } {
  const budget = ByteBudget.create({ kind, limitBytes: LIMIT_BYTES, onNearlyFull: () => {}, onRefused: () => {} })
  const holds = new Set<ByteHold>()
  const open = budget.open.bind(budget)
  budget.open = (...args) => {
    const hold = open(...args)
    holds.add(hold)
    return hold
  }
  return { budget, holds }
}

function answerAtRandom ({ requestId, text, socket }: RawExchange): void {
  const signed = pick(['Signed: s\r\n', 'Signed: s\r\n', 'Signed: s\r\n', ''])
  const id = pick([requestId, requestId, requestId, requestId, requestId, 'other'])
  const status = pick(['200 OK', '200 OK', '200 OK', '503 Full', '204 No Content', '500 Error'])
  const body = 'y'.repeat(pick([0, 10, 20_000, 90_000, 300_000]))
  const head = (headers: string) => `HTTP/1.1 ${status}\r\nRequest-Id: ${id}\r\n${signed}${headers}\r\n`
  const lastId = Number(/last-event-id: (\d+)/i.exec(text)?.[1] ?? 0)
  const event = (number: number) => `id: ${lastId + number}\ndata: ${'z'.repeat(pick([5, 100, 40_000]))}\n\n`
  const ways = [
    () => socket.write(`${head(`Content-Length: ${status.startsWith('204') ? 0 : body.length}\r\n`)}${status.startsWith('204') ? '' : body}`),
    () => socket.end(`${head('Content-Length: 400000\r\n')}${body}`),
    () => socket.end(`${head('')}${body}`),
    () => socket.write(`${head('Content-Length: 400000\r\n')}${body}`),
    () => socket.destroy(),
    () => {},
    () => socket.write(`${head('Content-Type: text/event-stream\r\n')}${event(1)}${event(2)}data: ${body}`),
    () => socket.end(`${head('Content-Type: text/event-stream\r\n')}${event(1)}${event(2)}`),
    () => socket.write(`${head('Content-Type: text/event-stream\r\n')}data: ${body}`),
    () => socket.write(`${head('Content-Type: text/event-stream\r\n')}${event(2)}${event(1)}`)
  ]
  pick(ways)()
}

/** Sends one to three requests on a connection, reads or doesn't, and leaves some time later. */
function callAtRandom (port: number, number: number): Promise<void> {
  const socket = connect(port, '127.0.0.1')
  socket.on('error', () => {})
  if (random() < 0.8) socket.resume()
  const version = pick(['1.1', '1.1', '1.0'])
  for (let index = 0; index <= below(3); index += 1) {
    const body = 'x'.repeat(pick([0, 100, 50_000, 99_000]))
    const sent = random() < 0.8 ? body.length : below(body.length + 1)
    socket.write(`${pick(['GET', 'POST', 'HEAD'])} ${pick(['/read/1', '/book/1', '/stream/1', '/none'])} HTTP/${version}\r\nHost: test\r\nConnection: keep-alive\r\nRequest-Id: request-${number}-${index}\r\nContent-Length: ${body.length}\r\n\r\n${body.slice(0, sent)}`)
  }
  const stayMs = pick([5, 50, 300, 800])
  return new Promise((resolve) => {
    socket.on('close', () => resolve())
    setTimeout(() => socket.destroy(), stayMs)
  })
}

t.test('nothing stays counted, and no hold stays open, once all callers have left and all times are over', async (t) => {
  const answers = createBudget(ByteKind.Answers)
  const requests = createBudget(ByteKind.Requests)
  const fixture = await GatewayFixture.create(routes, SERVICE, undefined, { ...createUnlimitedBudgets(), answers: answers.budget, requests: requests.budget })
  t.teardown(() => fixture.close())
  const errors: string[] = []
  fixture.context.log = { ...fixture.context.log, error: (message, fields) => errors.push(`${message} ${JSON.stringify(fields)}`) }
  for (const id of ['runner-1', 'runner-2', 'runner-3']) await fixture.addRunner(id, answerAtRandom, { slots: 500 })
  let started = 0
  await Promise.all(Array.from({ length: AT_ONCE }, async () => {
    while (started < REQUESTS) await callAtRandom(fixture.port, started++)
  }))
  const isOpen = (hold: ByteHold) => hold.take(0)
  const endMs = performance.now() + WITHIN_MS
  while (performance.now() < endMs && [...answers.holds, ...requests.holds].some(isOpen)) await new Promise((resolve) => setTimeout(resolve, 20))
  for (const { budget, holds } of [answers, requests]) {
    t.ok(holds.size > 0)
    t.equal(budget.usedBytes, 0, budget.options.kind)
    t.equal([...holds].filter(isOpen).length, 0, `open of ${holds.size}: ${budget.options.kind}`)
  }
  t.same(errors.slice(0, 3), [])
  t.same(fixture.context.runners.all().map(({ inFlight }) => inFlight), [0, 0, 0])
})
