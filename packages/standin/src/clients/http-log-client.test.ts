import t from 'tap'
import fc from 'fast-check'
import type { ResultAsync } from 'neverthrow'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { ManualClock, SystemClock, type Failure } from '@figloom/runtime'
import { HttpLogClient, type LogClient } from '@figloom/clients'
import { startStandins } from '../start.js'
import { MemoryLog } from '../log/memory-log.js'

type Step =
  | { kind: 'append', stream: string, recordId: string, body: unknown }
  | { kind: 'read', stream: string, from: number, limit: number }
  | { kind: 'fault', faults: Partial<MemoryLog['faults']> }

const streams = fc.constantFrom('cells/north', 'config')
const steps: fc.Arbitrary<Step[]> = fc.array(fc.oneof(
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('append' as const), stream: streams, recordId: fc.constantFrom('r1', 'r2', 'r3'), body: fc.jsonValue() }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('read' as const), stream: streams, from: fc.integer({ min: 0, max: 12 }), limit: fc.integer({ min: 1, max: 5 }) }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('fault' as const),
      faults: fc.oneof(
        fc.record({ down: fc.boolean() }),
        fc.record({ loseAnswers: fc.constantFrom(0, 1) }),
        fc.record({ rejectAppends: fc.constantFrom(0, 1) }))
    })
  }
), { maxLength: 25 })

/** Outcome that the caller sees: the value as JSON, or the failure's code and whether the call ran. */
async function outcome (result: ResultAsync<unknown, Failure>): Promise<unknown> {
  return (await result).match((value) => JSON.parse(JSON.stringify(value)), ({ code, ran }) => ({ code: code.type, ran }))
}

function run (log: LogClient, step: Exclude<Step, { kind: 'fault' }>): Promise<unknown> {
  if (step.kind === 'append') return outcome(log.append(step.stream, step.recordId, step.body))
  return outcome(log.read(step.stream, { from: step.from, limit: step.limit }))
}

/** Starts an HTTP server that gives the same answer to every request. */
async function createFixedServer (status: number, body: string): Promise<{ url: string, close: () => void }> {
  const server = createServer((_, res) => { res.statusCode = status; res.end(body) })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, close: () => server.close() }
}

t.test('the HTTP client gives the same outcomes as a log in this process', async (t) => {
  const clock = SystemClock.create()
  await fc.assert(fc.asyncProperty(steps, async (steps) => {
    const running = await startStandins({ standin: [{ kind: 'log', name: 'log' }] }, clock)
    const http = HttpLogClient.create({ url: running.urlOf('log'), clock })
    const memory = MemoryLog.create({ clock })
    const remote = running.standins[0]?.core
    if (remote?.kind !== 'log') throw new Error('the stand-in is not a log')
    try {
      for (const step of steps) {
        if (step.kind === 'fault') for (const log of [memory, remote.log]) Object.assign(log.faults, step.faults)
        else t.same(await run(http, step), await run(memory, step))
      }
      t.equal(remote.log.appendCount, memory.appendCount)
    } finally {
      await http.close()
      await running.close()
    }
  }), { seed: 20260106, numRuns: 60 })
})

t.test('a call whose connection is refused had no effect', async (t) => {
  const running = await startStandins({ standin: [{ kind: 'log', name: 'log' }] }, SystemClock.create())
  await running.close()
  const log = HttpLogClient.create({ url: running.urlOf('log'), clock: SystemClock.create() })
  t.same(await outcome(log.append('s', 'r', {})), { code: 'log_rejected', ran: 'no' })
  t.same(await outcome(log.read('s', { from: 1 })), { code: 'log_unavailable', ran: 'no' })
  await log.close()
})

t.test('the outcome of an append that times out is unknown', async (t) => {
  const clock = ManualClock.create()
  const running = await startStandins({ standin: [{ kind: 'log', name: 'log' }] }, clock)
  const core = running.standins[0]?.core
  if (core?.kind !== 'log') throw new Error('the stand-in is not a log')
  core.log.faults.delayMs = 60_000
  const log = HttpLogClient.create({ url: running.urlOf('log'), clock, timeoutMs: 1_000 })
  const appended = outcome(log.append('s', 'r', {}))
  await clock.advance(1_000)
  t.same(await appended, { code: 'log_unavailable', ran: 'unknown' })
  await log.close()
  await running.close()
})

t.test('status and body of an answer determine the failure code', async (t) => {
  const cases: [number, string, string][] = [
    [429, '', 'log_rejected'],
    [503, '{"error":"refused"}', 'log_rejected'],
    [503, 'proxy error', 'log_unavailable'],
    [500, '', 'log_unavailable'],
    [200, '{"offset":0}', 'log_unavailable'],
    [200, 'no JSON', 'log_unavailable'],
    [413, '', 'malformed_request']
  ]
  for (const [status, body, code] of cases) {
    const server = await createFixedServer(status, body)
    const log = HttpLogClient.create({ url: server.url, clock: SystemClock.create() })
    t.match(await outcome(log.append('s', 'r', {})), { code }, `${status} ${body}`)
    await log.close()
    server.close()
  }
})

t.test('a page with missing offsets is rejected', async (t) => {
  const page = { firstOffset: 1, nextOffset: 4, records: [{ offset: 1, recordId: 'a', body: 0 }, { offset: 3, recordId: 'c', body: 0 }] }
  const server = await createFixedServer(200, JSON.stringify(page))
  const log = HttpLogClient.create({ url: server.url, clock: SystemClock.create() })
  t.match(await outcome(log.read('s', { from: 1 })), { code: 'log_unavailable' })
  await log.close()
  server.close()
})
