/** Leaving backend servers and the graceful shutdown of hosts. */
import { request, type IncomingMessage } from 'node:http'
import { answerText, toPrompt } from '@figloom/standin'
import t from 'tap'
import { chat, runningAt, startCluster, until } from './testing/cluster.js'

type Lookup = { hosts: { host: string }[] }

async function lookup (url: string | undefined): Promise<string[]> {
  const answer = await (await fetch(`${url}/v1/lookup?model=tasting-notes`)).json() as Lookup
  return answer.hosts.map(({ host }) => host)
}

t.test('shutdown leaves lookups, ends streams in flight whole and stops', async (t) => {
  const { hosts, engines } = await startCluster(t, { hostCount: 2 })
  for (const engine of engines) engine.config.tokenMs = 20
  const [leaving, staying] = hosts
  const streaming = fetch(`${leaving?.callerUrl}/v1/chat/completions`, { method: 'POST', body: chat('in flight', { stream: true, max_tokens: 100 }) })
    .then((answer) => answer.text())
  await until(() => engines.some((engine) => runningAt(engine) > 0), 'stream started')
  const stopped = leaving?.daemon.shutDown()
  await until(async () => !(await lookup(staying?.callerUrl)).includes('host-1'), 'left lookups')
  const late = await fetch(`${leaving?.callerUrl}/v1/models`)
  t.ok(late.ok, 'serves while earlier lookups are kept')
  await late.text()
  const text = await streaming
  t.ok(text.endsWith('data: [DONE]\n\n'))
  const tokens = text.split('\n\n').flatMap((block) => block.startsWith('data: {') ? [JSON.parse(block.slice(6)).choices[0].delta.content ?? ''] : [])
  t.equal(tokens.join(''), answerText(toPrompt([{ role: 'user', content: 'in flight' }]), 100))
  await stopped
  await t.rejects(fetch(`${leaving?.callerUrl}/v1/models`))
})

t.test('a leaving host takes requests as long as callers may keep its address', async (t) => {
  const ttlMs = 5_000
  const { hosts } = await startCluster(t, { hostCount: 2, settings: { lookup: { ttlMs } } })
  const [leaving, staying] = hosts
  const leftMs = performance.now()
  const stopped = leaving?.daemon.shutDown()
  await until(async () => !(await lookup(staying?.callerUrl)).includes('host-1'), 'left lookups')
  // Several, since a host that doesn't wait still hands its cells over before it refuses.
  for (let index = 0; index < 40; index++) {
    const answered = fetch(`${leaving?.callerUrl}/v1/chat/completions`, { method: 'POST', body: chat(`late ${index}`, { max_tokens: 1 }) })
      .then(async (answer) => await answer.text() === '' ? 0 : answer.status, () => 0)
    const status = await answered
    // On a slow machine callers may have let go of the address meanwhile.
    if (performance.now() - leftMs < ttlMs) t.equal(status, 200)
    await new Promise((resolve) => setTimeout(resolve, 25))
  }
  await stopped
})

t.test('an answer that its caller reads slowly is not cut by the shutdown', async (t) => {
  const { hosts } = await startCluster(t)
  const [host] = hosts
  const body = JSON.stringify({ text: 'x'.repeat(8 * 1024 * 1024) })
  const answer = await new Promise<IncomingMessage>((resolve, reject) => {
    request(`${host?.callerUrl}/v1/services/bookings/x`, { method: 'POST', headers: { 'idempotency-key': 'slow' } }, resolve).once('error', reject).end(body)
  })
  const stopped = host?.daemon.shutDown()
  await new Promise((resolve) => setTimeout(resolve, 1000))
  let bytes = 0
  for await (const chunk of answer) bytes += chunk.length
  t.equal(bytes, Number(answer.headers['content-length']))
  await stopped
})

t.test('a listed leaving backend server gets nothing new', async (t) => {
  const { hosts, engines, standins, tables } = await startCluster(t)
  const [runner] = tables.pools[0]?.runners ?? []
  await fetch(`${standins.urlOf('hosts')}/hosts/${runner?.name}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ url: runner?.url, availabilityZone: runner?.availabilityZone, state: 'leaving' })
  })
  const generate = async (content: string) => {
    const answer = await fetch(`${hosts[0]?.callerUrl}/v1/chat/completions`, { method: 'POST', body: chat(content, { max_tokens: 2 }) })
    await answer.text()
    return answer.status
  }
  const startedOn = () => engines[0]?.stats().started ?? 0
  await until(async () => {
    const before = startedOn()
    const statuses = []
    for (let index = 0; index < 12; index++) statuses.push(await generate(`leaving ${index}`))
    return startedOn() === before && statuses.every((status) => status === 200)
  }, 'nothing new at the leaving server, and the other one serves')
  const before = startedOn()
  for (let index = 0; index < 20; index++) t.equal(await generate(`after ${index}`), 200)
  t.equal(startedOn(), before)
})
