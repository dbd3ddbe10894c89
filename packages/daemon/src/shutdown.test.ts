/** Graceful shutdown of hosts, and backend servers that the host list marks as leaving. */
import { request, type IncomingMessage } from 'node:http'
import { answerText, toPrompt } from '@figloom/standin'
import t from 'tap'
import { chat, runningAt, startCluster, waitUntil } from './testing/cluster.js'

type Lookup = { hosts: { host: string }[] }

async function lookup (url: string | undefined): Promise<string[]> {
  const answer = await (await fetch(`${url}/v1/lookup?model=tasting-notes`)).json() as Lookup
  return answer.hosts.map(({ host }) => host)
}

t.test('a host that shuts down leaves lookups, completes streams in flight and stops', async (t) => {
  const { hosts, engines } = await startCluster(t, { hostCount: 2 })
  for (const engine of engines) engine.config.tokenMs = 20
  const [leaving, staying] = hosts
  const streaming = fetch(`${leaving?.callerUrl}/v1/chat/completions`, { method: 'POST', body: chat('in flight', { stream: true, max_tokens: 100 }) })
    .then((answer) => answer.text())
  await waitUntil(() => engines.some((engine) => runningAt(engine) > 0), 'the stream has started')
  const stopped = leaving?.daemon.shutDown()
  await waitUntil(async () => !(await lookup(staying?.callerUrl)).includes('host-1'), 'lookups no longer return the host')
  const late = await fetch(`${leaving?.callerUrl}/v1/models`)
  t.ok(late.ok, 'the host serves while callers may cache earlier lookups')
  await late.text()
  const text = await streaming
  t.ok(text.endsWith('data: [DONE]\n\n'))
  const tokens = text.split('\n\n').flatMap((block) => block.startsWith('data: {') ? [JSON.parse(block.slice(6)).choices[0].delta.content ?? ''] : [])
  t.equal(tokens.join(''), answerText(toPrompt([{ role: 'user', content: 'in flight' }]), 100))
  await stopped
  await t.rejects(fetch(`${leaving?.callerUrl}/v1/models`))
})

t.test('a host that shuts down serves requests as long as callers may cache its address', async (t) => {
  const ttlMs = 5_000
  const { hosts } = await startCluster(t, { hostCount: 2, settings: { lookup: { ttlMs } } })
  const [leaving, staying] = hosts
  const shutdownStartedMs = performance.now()
  const stopped = leaving?.daemon.shutDown()
  await waitUntil(async () => !(await lookup(staying?.callerUrl)).includes('host-1'), 'lookups no longer return the host')
  // Repeated, since even a host that didn't wait would serve until it has released its leases.
  for (let index = 0; index < 40; index++) {
    const answered = fetch(`${leaving?.callerUrl}/v1/chat/completions`, { method: 'POST', body: chat(`late ${index}`, { max_tokens: 1 }) })
      .then(async (answer) => await answer.text() === '' ? 0 : answer.status, () => 0)
    const status = await answered
    // On a slow machine the cached address may have expired by now.
    if (performance.now() - shutdownStartedMs < ttlMs) t.equal(status, 200)
    await new Promise((resolve) => setTimeout(resolve, 25))
  }
  await stopped
})

t.test('shutdown does not cut an answer that its caller reads slowly', async (t) => {
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

t.test('a backend server that the host list marks as leaving gets no new requests', async (t) => {
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
  await waitUntil(async () => {
    const before = startedOn()
    const statuses = []
    for (let index = 0; index < 12; index++) statuses.push(await generate(`leaving ${index}`))
    return startedOn() === before && statuses.every((status) => status === 200)
  }, 'the leaving server gets no new requests, and the other one serves')
  const before = startedOn()
  for (let index = 0; index < 20; index++) t.equal(await generate(`after ${index}`), 200)
  t.equal(startedOn(), before)
})
