import t, { type Test } from 'tap'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { ManualClock, SystemClock } from '@figloom/runtime'
import { startStandins, type RunningStandins, type StandinCore } from '@figloom/standin'
import { answerText, toPrompt } from '@figloom/standin/tokens'
import { runLoad } from './run-load.js'
import type { LoadInput } from '../settings/schema.js'

const clock = SystemClock.create()
const copy = { model: 'mesa-8b', version: '1', weightsMiB: 1, kvReserveMiB: 1 }
const chatRoute = { name: 'menus', requestsPerSecond: 200, arrivals: 'uniform' as const, maxTokens: 4, promptCharacters: 40 }
const bookingRoute = { name: 'booking', kind: 'service' as const, keyed: true, requestsPerSecond: 100, arrivals: 'uniform' as const }
const bounds = { durationMs: 10_000, maxRequests: 20, concurrency: 100, requestTimeoutMs: 5_000 }

/** Starts an engine, a booking service and an entry host that forwards requests without checking them. */
async function startSystem (t: Test, lookupHosts?: (ownUrl: string) => string[]) {
  const standins = await startStandins({
    standin: [{ kind: 'engine', name: 'r1', firstTokenMs: 1, tokenMs: 1, slots: 100, copies: [copy] }, { kind: 'service', name: 'booking' }]
  }, clock)
  t.teardown(() => standins.close())
  const entry = await startEntry(t, standins, lookupHosts)
  const core = <Kind extends StandinCore['kind']>(kind: Kind) => standins.standins.find((one) => one.core.kind === kind)?.core as Extract<StandinCore, { kind: Kind }>
  const load = (input: Partial<LoadInput>) => runLoad({
    entries: [entry],
    ...bounds,
    serviceStats: [standins.urlOf('booking')],
    engineStats: [standins.urlOf('r1')],
    route: [chatRoute],
    ...input
  }, clock)
  return { load, engine: core('engine').engine, service: core('service').service, standins }
}

async function startEntry (t: Test, standins: RunningStandins, lookupHosts?: (ownUrl: string) => string[]): Promise<string> {
  const url: string = await startServer(t, async (body, res, req) => {
    if (req.url?.startsWith('/v1/lookup') !== true) return forwardRequest(standins, body, req, res).catch(() => res.destroy())
    const hosts = (lookupHosts ?? ((own) => [own]))(url).map((hostUrl) => ({ host: 'h', availabilityZone: 'z', url: hostUrl }))
    return res.end(JSON.stringify({ hosts, ttlMs: 60_000, configVersion: 1 }))
  })
  return url
}

async function forwardRequest (standins: RunningStandins, text: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const chat = req.url === '/v1/chat/completions'
  const body = JSON.parse(text)
  const key = req.headers['idempotency-key']
  const answer = await fetch(chat ? standins.urlOf('r1') + req.url : `${standins.urlOf('booking')}/call`, {
    method: 'POST',
    headers: key === undefined ? {} : { 'idempotency-key': String(key) },
    body: JSON.stringify(chat ? { ...body, model: 'mesa-8b' } : body)
  })
  res.statusCode = answer.status
  for await (const bytes of answer.body ?? []) res.write(bytes)
  res.end()
}

async function startServer (t: Test, answer: (body: string, res: ServerResponse, req: IncomingMessage) => unknown): Promise<string> {
  const server = createServer(async (req, res) => {
    const chunks: Buffer[] = []
    for await (const chunk of req) chunks.push(chunk)
    await answer(Buffer.concat(chunks).toString(), res, req)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => { server.close(); server.closeAllConnections() })
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
}

function startRefusingServer (t: Test, ran: 'no' | 'unknown', before?: (key: string) => Promise<unknown>): Promise<string> {
  return startServer(t, async (_, res, req) => {
    await before?.(String(req.headers['idempotency-key']))
    res.statusCode = 503
    res.end(JSON.stringify({ error: { code: 2004, type: 'overloaded', message: '', ran, retryAfterMs: 1 } }))
  })
}

t.test('complete answers are counted, streamed or not', async (t) => {
  const { load, engine } = await startSystem(t)
  const report = await load({ route: [{ ...chatRoute, streamRatio: 0.5 }] })
  t.match(report, { planned: 20, notSent: 0, total: { sent: 20, answered: 20, foreign: 0, partial: 0 }, runs: { ranTwice: 0 } })
  t.match(report.moves, { loads: 0, overcommits: 0, startedTwice: 0 })
  t.equal(report.total.answer.count, 20)
  t.ok(report.total.firstToken.count > 0 && report.total.firstToken.count < 20)
  t.equal(engine.stats().finished, 20)
  t.same([report.lookups.asked, report.lookups.failed], [1, 0])
})

t.test('swapped and truncated answers are not counted as complete ones', async (t) => {
  const { load, engine } = await startSystem(t)
  engine.setFaults({ crossAnswers: 3, cutAnswers: 2, cutAfterTokens: 2 })
  const report = await load({})
  const { total } = report
  t.equal(total.foreign, 3)
  t.equal(total.answered + total.foreign + Object.values(total.failures).reduce((sum, count) => sum + count, 0), 20)
  t.ok(total.answered >= 15 && total.answered < 20)
})

t.test('an answer marked as complete that lacks tokens is partial; one that breaks off has failed', async (t) => {
  const { load } = await startSystem(t)
  const prompt = (body: string) => toPrompt(JSON.parse(body).messages)
  const chunk = (text: string) => `data: ${JSON.stringify({ choices: [{ delta: { content: text } }] })}\n\n`
  const error = 'data: {"error":{"code":3004,"type":"answer_incomplete","ran":"unknown"}}\n\n'
  const answers: [string, boolean, (body: string) => string, object][] = [
    ['whole', false, (body) => JSON.stringify({ choices: [{ message: { content: answerText(prompt(body), 3) } }] }), { partial: 1 }],
    ['stream', true, (body) => `${chunk(answerText(prompt(body), 3))}data: [DONE]\n\n`, { partial: 1 }],
    ['error event', true, (body) => chunk(answerText(prompt(body), 3)) + error, { partial: 0, refusals: { '3004 answer_incomplete ran=unknown': 1 } }],
    ['error event and end', true, (body) => `${chunk(answerText(prompt(body), 4))}${error}data: [DONE]\n\n`, { refusals: { '3004 answer_incomplete ran=unknown': 1 } }],
    ['no end', true, (body) => chunk(answerText(prompt(body), 4)), { partial: 0, failures: { 'stream ended without [DONE]': 1 } }],
    ['other and no end', true, () => chunk('other '), { foreign: 1 }]
  ]
  for (const [name, stream, answer, expected] of answers) {
    const url = await startServer(t, (body, res) => res.end(answer(body)))
    const route = { ...chatRoute, streamRatio: stream ? 1 : 0, direct: { url, model: 'mesa-8b' } }
    t.match((await load({ route: [route], maxRequests: 1 })).total, { answered: 0, ...expected }, name)
  }
})

t.test('an answer that echoes another call is foreign', async (t) => {
  const { load } = await startSystem(t)
  const url = await startServer(t, (body, res, req) => res.end(JSON.stringify({ key: req.headers['idempotency-key'], body: { ...JSON.parse(body), id: 'other' } })))
  const keyless = await startServer(t, (body, res) => res.end(JSON.stringify({ body: JSON.parse(body) })))
  for (const serverUrl of [url, keyless]) {
    const route = { ...bookingRoute, direct: { url: serverUrl, model: 'none' } }
    t.match((await load({ route: [route], maxRequests: 1 })).total, { answered: 0, foreign: 1 })
  }
})

t.test('calls that ran twice under one key are counted', async (t) => {
  const { load, service } = await startSystem(t)
  const once = await load({ route: [bookingRoute] })
  t.match(once, { total: { answered: 20 }, runs: { ranTwice: 0, ranThoughRefused: 0 } })
  const twice = await load({ route: [{ ...bookingRoute, repeatRatio: 1 }], seed: 2, maxRequests: 5 })
  t.match(twice, { total: { sent: 10 }, runs: { ranTwice: 5 } })
  t.equal(service.stats().total, 30)
})

t.test('a call that ran although it was refused is counted', async (t) => {
  const refusing = await startRefusingServer(t, 'no')
  const consistent = await startSystem(t, () => [refusing])
  t.match(await consistent.load({ route: [bookingRoute], maxRequests: 3 }), {
    total: { answered: 0, refusals: { '2004 overloaded ran=no': 3 } }, runs: { ranThoughRefused: 0 }
  })
  const broken = await startSystem(t, () => [runsAndRefuses])
  const runsAndRefuses = await startRefusingServer(t, 'no', (key) => broken.service.call(key, {}))
  t.match((await broken.load({ route: [bookingRoute], maxRequests: 3 })).runs, { ranTwice: 0, ranThoughRefused: 3 })
})

t.test('fails over to the next host only if the first certainly did not run the request', async (t) => {
  const notRun = await startRefusingServer(t, 'no')
  const unknown = await startRefusingServer(t, 'unknown')
  const moved = await startSystem(t, (own) => [notRun, own])
  t.match((await moved.load({ maxRequests: 4 })).total, { answered: 4, movedOn: 4 })
  const stayed = await startSystem(t, (own) => [unknown, own])
  t.match((await stayed.load({ maxRequests: 4 })).total, { answered: 0, movedOn: 0, refusals: { '2004 overloaded ran=unknown': 4 } })
})

t.test('addresses that are not loopback are not used', async (t) => {
  const { load } = await startSystem(t, () => ['http://0.0.0.0:1'])
  const report = await load({ maxRequests: 2 })
  t.equal(report.total.failures['no address from lookup'], 2)
  t.ok(report.lookups.remoteAddresses > 0)
})

t.test('arrivals beyond the concurrency are not sent', async (t) => {
  const { engine, standins } = await startSystem(t)
  engine.setFaults({ frozen: true })
  const manual = ManualClock.create()
  const direct = { url: standins.urlOf('r1'), model: 'mesa-8b' }
  const running = runLoad({ ...bounds, concurrency: 3, maxRequests: 10, route: [{ ...chatRoute, direct }] }, manual)
  await manual.advance(1_000)
  engine.setFaults({ frozen: false })
  t.match(await running, { notSent: 7, total: { sent: 3, answered: 3 } })
})

t.test('an abort stops new requests, a timeout ends a request in flight', async (t) => {
  const { engine, standins } = await startSystem(t)
  engine.setFaults({ frozen: true })
  const manual = ManualClock.create()
  const abort = new AbortController()
  const direct = { url: standins.urlOf('r1'), model: 'mesa-8b' }
  const running = runLoad({ ...bounds, route: [{ ...chatRoute, requestsPerSecond: 1, direct }] }, manual, abort.signal)
  await manual.advance(2_500)
  abort.abort()
  await manual.advance(5_000)
  t.match(await running, { planned: 10, total: { sent: 3, answered: 0 } })
})

t.test('a route sent straight to an engine next to one through an entry host', async (t) => {
  const { load, standins } = await startSystem(t)
  const direct = { url: standins.urlOf('r1'), model: 'mesa-8b', version: '1' }
  const report = await load({ route: [chatRoute, { ...chatRoute, label: 'direct', direct }] })
  t.match(report.routes, [{ name: 'menus', answered: 10 }, { name: 'direct', answered: 10 }])
})
