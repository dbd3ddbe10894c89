import t from 'tap'
import { publish, startCluster, waitUntil } from './testing/cluster.js'

t.test('a pool removed from the tables is unloaded, and serves again when it is added back', async (t) => {
  const { hosts, engines, log, tables } = await startCluster(t)
  const without = { routes: tables.routes.filter(({ pool }) => pool !== 'drafting'), pools: tables.pools.filter(({ name }) => name !== 'drafting') }
  const removed = await publish(log, tables, without, 1)
  await waitUntil(async () => (await Promise.all(engines.map((engine) => engine.report()))).every((report) => report?.copies.length === 0), 'all models are unloaded')
  await publish(log, without, tables, removed)
  await waitUntil(async () => {
    const answer = await fetch(`${hosts[0]?.callerUrl}/v1/chat/completions`, {
      method: 'POST', body: JSON.stringify({ model: 'tasting-notes', max_tokens: 1, messages: [{ role: 'user', content: 'again' }] })
    })
    await answer.text()
    return answer.ok
  }, 'the pool serves again')
  t.equal(engines.reduce((sum, engine) => sum + engine.stats().overcommitCount, 0), 0)
})
