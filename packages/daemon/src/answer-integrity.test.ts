/** While backend servers fail, answers are complete, belong to their request, and report correctly whether it ran. */
import { answerText, toPrompt, type EngineCore } from '@figloom/standin'
import t, { type Test } from 'tap'
import { chat, runningAt, startCluster, type TestCluster } from './testing/cluster.js'

type StreamResult = { status: number, text: string, done: boolean, error: { code: number, ran: string } | undefined }

const TOKENS = 8

function expected (content: string): string {
  return answerText(toPrompt([{ role: 'user', content }]), TOKENS)
}

async function stream (cluster: TestCluster, content: string): Promise<StreamResult> {
  const answer = await fetch(`${cluster.hosts[0]?.callerUrl}/v1/chat/completions`, {
    method: 'POST', body: chat(content, { stream: true, max_tokens: TOKENS })
  })
  const body = await answer.text()
  if (!answer.ok) return { status: answer.status, text: '', done: false, error: JSON.parse(body).error }
  const blocks = body.split('\n\n')
  const failure = blocks.find((block) => block.startsWith('event: error'))
  const data = blocks.filter((block) => block.startsWith('data: ')).map((block) => block.slice(6))
  const text = data.filter((line) => line !== '[DONE]').map((line) => JSON.parse(line).choices[0].delta.content ?? '').join('')
  return { status: answer.status, text, done: data.at(-1) === '[DONE]', error: failure && JSON.parse(failure.split('data: ')[1] ?? '').error }
}

function setFaults (cluster: TestCluster, faults: Parameters<EngineCore['setFaults']>[0]): void {
  for (const engine of cluster.engines) engine.setFaults(faults)
}

async function startServing (t: Test): Promise<TestCluster> {
  return startCluster(t)
}

t.test('a stream that one engine cuts is resumed and complete', async (t) => {
  const cluster = await startServing(t)
  setFaults(cluster, { cutAnswers: 1, cutAfterTokens: 3 })
  const result = await stream(cluster, 'cut once')
  t.match(result, { status: 200, done: true, error: undefined })
  t.equal(result.text, expected('cut once'))
})

t.test('a stream that every engine cuts ends with an error and without the end marker', async (t) => {
  const cluster = await startServing(t)
  setFaults(cluster, { cutAnswers: 50, cutAfterTokens: 3 })
  const result = await stream(cluster, 'cut always')
  t.equal(result.done, false)
  t.match(result.error, { ran: 'unknown' })
  t.ok(expected('cut always').startsWith(result.text))
})

t.test('a streamed answer that belongs to another attempt is not delivered', async (t) => {
  const cluster = await startServing(t)
  setFaults(cluster, { crossAnswers: 1 })
  const result = await stream(cluster, 'crossed')
  t.equal(result.text, expected('crossed'))
  t.ok(result.done)
})

t.test('a whole answer that belongs to another attempt is not delivered', async (t) => {
  const cluster = await startServing(t)
  setFaults(cluster, { crossAnswers: 1 })
  const answer = await fetch(`${cluster.hosts[0]?.callerUrl}/v1/chat/completions`, { method: 'POST', body: chat('crossed whole', { max_tokens: TOKENS }) })
  const body = await answer.json() as { choices: { message: { content: string } }[] }
  t.equal(body.choices[0]?.message.content, expected('crossed whole'))
})

t.test('a failure after an attempt that may have run does not report "not run"', async (t) => {
  const cluster = await startServing(t)
  setFaults(cluster, { resetAfterRead: 50 })
  const result = await stream(cluster, 'reset after read')
  t.match(result.error, { ran: 'unknown' })
})

t.test('a disconnected caller\'s request is canceled on the engine', async (t) => {
  const cluster = await startServing(t)
  const abort = new AbortController()
  const answer = await fetch(`${cluster.hosts[0]?.callerUrl}/v1/chat/completions`, {
    method: 'POST', body: chat('going away', { stream: true, max_tokens: 5000 }), signal: abort.signal
  })
  await answer.body?.getReader().read()
  abort.abort()
  for (let tries = 0; tries < 200; tries++) {
    if (cluster.engines.every((engine) => runningAt(engine) === 0)) break
    await new Promise((resolve) => setTimeout(resolve, 10))
  }
  t.ok(cluster.engines.every((engine) => runningAt(engine) === 0))
  const next = await stream(cluster, 'after the cancel')
  t.equal(next.text, expected('after the cancel'))
})
