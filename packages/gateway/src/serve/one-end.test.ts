// Guards against answers without an end: a request that is given up must get exactly one, at once, however far its answer has come.
import { createServer } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { createFailure, ResultCode } from '@figloom/runtime'
import t, { type Test } from 'tap'
import { RouteKind, type Service } from '../config/types.js'
import { GateState } from '../gates/types.js'
import { createEntry, createRoute, GatewayFixture } from '../testing/gateway-fixture.js'
import type { RawExchange } from '../testing/raw-runner.js'
import { writeFailure } from './gateway-answer.js'

/** Longer than any of the cases takes, so that only the case's own end can be seen. */
const ROUTE_TIMEOUT_MS = 6_000
const SHORT_TIMEOUT_MS = 400
const MAX_END_MS = 1_500
/** When the runner breaks off what it has written. */
const BREAK_AFTER_MS = 30
/** One more than the runners that are asked for an adapter. */
const OTHER_HOLDERS = 5

const ENGINE: Service = {
  name: 'plain',
  maxConnections: 50,
  engine: { slots: 8, memoryTokens: 1_000, weightsMb: 100, adapterSlots: 1, loadsPerS: 1, models: new Map() }
}

const holderOf = (adapters: string[]) => ({ models: [{ name: 'm', version: 1, adapters }] })

const Progress = { BeforeHead: 'before the head', BehindHead: 'behind the head', BehindEvent: 'behind the first event' } as const
type Progress = (typeof Progress)[keyof typeof Progress]

function writeUpTo (progress: Progress, { requestId, socket }: RawExchange): void {
  if (progress === Progress.BeforeHead) return
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`)
  if (progress === Progress.BehindEvent) socket.write('f\r\nid: 0\ndata: x\n\n\r\n')
}

/** How a request comes to its end. */
type Way = {
  /** Adds what the request meets behind its first runner, and runs when that runner has the request. */
  prepare: (fixture: GatewayFixture) => void
  /** The first runner stays silent instead of breaking off. */
  staysSilent?: boolean
  timeoutMs?: number
}

function addHolders (fixture: GatewayFixture, adapters: string[]): void {
  for (let index = 1; index <= OTHER_HOLDERS; index += 1) fixture.context.runners.upsert(createEntry({ id: `other-${index}`, ...holderOf(adapters) }))
}

const WAYS: Record<string, Way> = {
  'no other runner has the model': { prepare: () => {} },
  'no other runner can load the adapter': { prepare: (fixture) => addHolders(fixture, []) },
  'the loads of the adapter fail with an error': {
    prepare: (fixture) => {
      addHolders(fixture, [])
      fixture.context.adapters.ensure = () => Promise.reject(new Error('no answer'))
    }
  },
  'no other runner can be connected to': { prepare: (fixture) => addHolders(fixture, ['a']) },
  'permits are not given': {
    prepare: (fixture) => {
      addHolders(fixture, ['a'])
      fixture.context.limits.gate = () => ({ state: GateState.NeedsPermit })
      fixture.context.limits.takePermit = () => Promise.reject(new Error('no answer'))
    }
  },
  'the request is blocked': {
    prepare: (fixture) => {
      addHolders(fixture, ['a'])
      fixture.context.crashes.blockOf = () => ({ featureId: 'part-1', revision: 1, blocked: true, sinceMs: 0, trials: 0, reason: 'ends runners' })
    }
  },
  'an unexpected error': { prepare: (fixture) => { fixture.context.runners.usable = () => { throw new Error('internal error') } } },
  'its time is over': { prepare: () => {}, staysSilent: true, timeoutMs: SHORT_TIMEOUT_MS }
}

async function callOnce (t: Test, progress: Progress, { prepare, staysSilent, timeoutMs = ROUTE_TIMEOUT_MS }: Way) {
  const fixture = await GatewayFixture.create([createRoute({ kind: RouteKind.Stream, resumable: true, maxAttempts: 6, timeoutMs })], ENGINE)
  t.teardown(() => fixture.close())
  await fixture.addRunner('runner-1', (exchange) => {
    writeUpTo(progress, exchange)
    prepare(fixture)
    if (staysSilent !== true) setTimeout(() => exchange.socket.resetAndDestroy(), BREAK_AFTER_MS)
  }, holderOf(['a']))
  const startMs = performance.now()
  const answer = await fixture.call({ method: 'POST', headers: ['Model: m/a'] })
  return { ...answer, tookMs: performance.now() - startMs }
}

for (const [name, way] of Object.entries(WAYS)) {
  for (const progress of Object.values(Progress)) {
    t.test(`a request ends once and at once ${progress}: ${name}`, async (t) => {
      const { status, text, tookMs } = await callOnce(t, progress, way)
      t.ok(tookMs < MAX_END_MS, `${Math.round(tookMs)} ms`)
      t.equal(text.match(/HTTP\/1\.1 /g)?.length, 1)
      if (progress === Progress.BehindEvent) t.notMatch(text, /\r\n0\r\n\r\n$/)
      else t.ok(status >= 500, `status ${status}`)
    })
  }
}

t.test('a failure behind the head of an answer closes its connection', async (t) => {
  const server = createServer((_, response) => {
    response.writeHead(200)
    response.write('part')
    writeFailure(response, createFailure(ResultCode.Internal, 'failed'), false)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => server.close())
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  socket.write('GET / HTTP/1.1\r\nHost: test\r\n\r\n')
  const text = Buffer.concat(await socket.toArray()).toString()
  t.notMatch(text, /failed|\r\n0\r\n\r\n$/)
})
