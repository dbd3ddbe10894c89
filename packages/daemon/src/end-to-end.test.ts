import { connect as connectHttp2 } from 'node:http2'
import OpenAI from 'openai'
import { answerText, toPrompt } from '@figloom/standin'
import t from 'tap'
import { chat, startCluster, waitUntil } from './testing/cluster.js'

function expected (content: string, tokens: number): string {
  return answerText(toPrompt([{ role: 'user', content }]), tokens)
}

t.test('a lookup returns hosts of two availability zones', async (t) => {
  const { hosts } = await startCluster(t, { hostCount: 3 })
  await waitUntil(async () => {
    const answer = await (await fetch(`${hosts[0]?.callerUrl}/v1/lookup?model=tasting-notes`)).json() as { hosts: { availabilityZone: string }[] }
    return new Set(answer.hosts.slice(0, 2).map(({ availabilityZone }) => availabilityZone)).size === 2
  }, 'the lookup returns two availability zones')
  const unknown = await fetch(`${hosts[0]?.callerUrl}/v1/lookup?model=none`)
  t.equal(unknown.status, 404)
})

t.test('the OpenAI client library receives whole and streamed answers', async (t) => {
  const { hosts } = await startCluster(t)
  const client = new OpenAI({ baseURL: `${hosts[0]?.callerUrl}/v1`, apiKey: 'none', maxRetries: 0 })
  const models = await client.models.list()
  t.same(models.data.map(({ id }) => id), ['tasting-notes'])
  const messages = [{ role: 'user' as const, content: 'a Douro red' }]
  const whole = await client.chat.completions.create({ model: 'tasting-notes', messages, max_tokens: 5 })
  t.equal(whole.choices[0]?.message.content, expected('a Douro red', 5))
  let text = ''
  const stream = await client.chat.completions.create({ model: 'tasting-notes', messages, max_tokens: 7, stream: true })
  for await (const chunk of stream) text += chunk.choices[0]?.delta.content ?? ''
  t.equal(text, expected('a Douro red', 7))
})

t.test('an answer is delivered over cleartext HTTP/2', async (t) => {
  const { hosts } = await startCluster(t)
  const session = connectHttp2(hosts[0]?.callerUrl ?? '')
  t.teardown(() => session.close())
  const stream = session.request({ ':method': 'POST', ':path': '/v1/chat/completions' })
  stream.end(chat('over http2', { max_tokens: 3 }))
  let text = ''
  for await (const chunk of stream) text += chunk
  t.equal(JSON.parse(text).choices[0].message.content, expected('over http2', 3))
})

t.test('a booking sent to two hosts with the same idempotency key runs once', async (t) => {
  const { hosts, service } = await startCluster(t, { hostCount: 2 })
  const book = (url: string | undefined) => fetch(`${url}/v1/services/bookings/slots?day=2`, {
    method: 'POST', headers: { 'idempotency-key': 'slot-7' }, body: '{"slot":7}'
  })
  const first = await book(hosts[0]?.callerUrl)
  t.equal(first.status, 200)
  const body = await first.text()
  let second = await book(hosts[1]?.callerUrl)
  await waitUntil(async () => {
    if (second.status === 409) second = await book(hosts[1]?.callerUrl)
    return second.status !== 409
  }, 'the answer of the first call is stored')
  t.equal(second.headers.get('figloom-replayed'), 'true')
  t.equal(await second.text(), body)
  t.equal(service.stats().runs['slot-7'], 1)
})

t.test('error answers carry a status, a result code and whether the request ran', async (t) => {
  const { hosts } = await startCluster(t)
  const url = hosts[0]?.callerUrl ?? ''
  const send = async (path: string, init: RequestInit) => {
    const answer = await fetch(url + path, init)
    return { status: answer.status, error: (await answer.json() as { error: { code: number, ran: string } }).error }
  }
  const post = (body: string) => ({ method: 'POST', body })
  t.match(await send('/v1/chat/completions', post('{')), { status: 400, error: { code: 1001, ran: 'no' } })
  t.match(await send('/v1/chat/completions', post(chat('x', { model: 'none' }))), { status: 404, error: { code: 1002 } })
  t.match(await send('/nowhere', post('')), { status: 404, error: { code: 1003 } })
  t.match(await send('/v1/chat/completions', post('x'.repeat(17 * 1024 * 1024))), { status: 413, error: { code: 1004 } })
  t.match(await send('/v1/models', { headers: { 'x-long': 'y'.repeat(20_000) } }), { status: 431, error: { code: 1005 } })
  t.match(await send('/v1/services/bookings/x', post('{}')), { status: 400, error: { code: 4001 } })
  t.match(await send('/v1/chat/completions', { ...post(chat('x')), headers: { 'figloom-deadline-ms': '-3' } }), { status: 400, error: { code: 1001 } })
})
