import t, { type Test } from 'tap'
import { request } from 'undici'
import { SystemClock } from '@figloom/runtime'
import { startStandins } from '../start.js'
import type { EngineCore } from './engine-core.js'
import { answerText } from './tokens.js'

const clock = SystemClock.create()
const messages = [{ role: 'user', content: 'hello' }]
const prompt = 'user: hello'
const copy = { model: 'mesa-8b', version: '1', weightsMiB: 1, kvReserveMiB: 1 }

async function startEngine (t: Test, fields: { firstTokenMs?: number, tokenMs?: number, slots?: number } = {}) {
  const running = await startStandins({ standin: [{ kind: 'engine', name: 'r1', firstTokenMs: 1, tokenMs: 1, copies: [copy], ...fields }] }, clock)
  t.teardown(() => running.close())
  const core = running.standins[0]?.core as { engine: EngineCore }
  return { url: running.urlOf('r1'), engine: core.engine }
}

async function complete (url: string, attemptId: string, fields: object = {}) {
  const answer = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'figloom-attempt-id': attemptId },
    body: JSON.stringify({ model: 'mesa-8b', messages, max_tokens: 4, ...fields })
  })
  return { status: answer.statusCode, id: answer.headers['figloom-attempt-id'], text: await answer.body.text() }
}

function readChunks (text: string) {
  const events = text.split('\n\n').filter((event) => event !== '').map((event) => event.replace(/^data: /, ''))
  const chunks = events.filter((event) => event !== '[DONE]').map((event) => JSON.parse(event))
  return { chunks, done: events.at(-1) === '[DONE]', text: chunks.map((chunk) => chunk.choices[0].delta.content ?? '').join('') }
}

t.test('complete answer without streaming', async (t) => {
  const { url } = await startEngine(t)
  const { status, id, text } = await complete(url, 'a1')
  t.same([status, id], [200, 'a1'])
  t.match(JSON.parse(text), { object: 'chat.completion', figloom_attempt_id: 'a1', choices: [{ message: { content: answerText(prompt, 4) } }] })
})

t.test('streamed answer, and resumption at a token', async (t) => {
  const { url } = await startEngine(t)
  const full = readChunks((await complete(url, 'a1', { stream: true })).text)
  t.equal(full.text, answerText(prompt, 4))
  t.ok(full.done)
  t.ok(full.chunks.every((chunk) => chunk.figloom_attempt_id === 'a1'))
  const rest = readChunks((await complete(url, 'a2', { stream: true, figloom_resume_from: 3 })).text)
  t.equal(rest.text, answerText(prompt, 4, 3))
})

t.test('a model, version or adapter that is not resident is answered with 404 and not run', async (t) => {
  const { url, engine } = await startEngine(t)
  for (const fields of [{ model: 'other' }, { figloom_version: '2' }, { figloom_adapter: 'none' }]) {
    t.equal((await complete(url, 'a1', fields)).status, 404)
  }
  t.equal(engine.stats().started, 0)
})

t.test('injected faults: truncated answer, answer of another attempt, reset before and after the run', async (t) => {
  const { url, engine } = await startEngine(t)
  engine.setFaults({ cutAnswers: 1, cutAfterTokens: 2 })
  await t.rejects(complete(url, 'cut', { stream: true }))
  engine.setFaults({ crossAnswers: 1 })
  const crossed = readChunks((await complete(url, 'own', { stream: true })).text)
  t.not(crossed.chunks[0].figloom_attempt_id, 'own')
  t.not(crossed.text, answerText(prompt, 4))
  engine.setFaults({ resetBeforeRead: 1 })
  await t.rejects(complete(url, 'before'))
  engine.setFaults({ resetAfterRead: 1 })
  await t.rejects(complete(url, 'after'))
  t.match(engine.stats().runs, { cut: 1, own: 1, after: 1 })
  t.notOk('before' in engine.stats().runs)
})

t.test('delayed answer is complete', async (t) => {
  const { url, engine } = await startEngine(t)
  engine.setFaults({ delayAnswers: 1, answerDelayMs: 30 })
  const late = readChunks((await complete(url, 'late', { stream: true })).text)
  t.same([late.text, late.done], [answerText(prompt, 4), true])
})

t.test('closing the connection cancels the attempt', async (t) => {
  const { url, engine } = await startEngine(t, { tokenMs: 60_000 })
  const caller = new AbortController()
  const answer = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    signal: caller.signal,
    headers: { 'content-type': 'application/json', 'figloom-attempt-id': 'a1' },
    body: JSON.stringify({ model: 'mesa-8b', messages, stream: true })
  })
  caller.abort()
  await t.rejects(answer.body.text())
  while (engine.stats().canceled === 0) await clock.sleep(5)
  t.match(await engine.report(), { running: 0 })
})

t.test('a queued attempt that is cancelled is answered with 409, a running one is reset', async (t) => {
  const { url, engine } = await startEngine(t, { firstTokenMs: 60_000, slots: 1 })
  const running = complete(url, 'running').catch(() => 'reset')
  while (engine.stats().started === 0) await clock.sleep(5)
  const queued = complete(url, 'queued')
  while ((await engine.report())?.queued === 0) await clock.sleep(5)
  const cancel = async (id: string) => (await request(`${url}/v1/attempts/${id}`, { method: 'DELETE' })).body.json()
  t.same(await cancel('queued'), { outcome: 'not-started' })
  t.equal((await queued).status, 409)
  t.same(await cancel('running'), { outcome: 'stopped' })
  t.equal(await running, 'reset')
})
