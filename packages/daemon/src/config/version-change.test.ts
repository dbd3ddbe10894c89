/** Requests are served without interruption while a route changes to a new model version. */
import t from 'tap'
import { chat, publish, startCluster, waitUntil } from '../testing/cluster.js'

t.test('the old version serves until the new one is resident', async (t) => {
  const { hosts, engines, log, tables } = await startCluster(t)
  for (const engine of engines) engine.config.loadMs = 1000
  const changed = {
    routes: tables.routes.map((route) => route.kind === 'model' ? { ...route, version: '4' } : route),
    pools: tables.pools.map((pool) => ({ ...pool, models: pool.models.map((model) => ({ ...model, version: '4' })) }))
  }
  await publish(log, tables, changed, 1)
  const isNewResident = async () => (await Promise.all(engines.map((engine) => engine.report())))
    .some((report) => report?.copies.some(({ version, state, adapters }) => version === '4' && state === 'resident' && adapters.some((adapter) => adapter.state === 'resident')))
  const refused: string[] = []
  let sent = 0
  const send = async () => {
    const answer = await fetch(`${hosts[0]?.callerUrl}/v1/chat/completions`, { method: 'POST', body: chat(`change ${sent++}`, { max_tokens: 2 }) })
    const text = await answer.text()
    if (!answer.ok) refused.push(text)
  }
  await waitUntil(async () => {
    await send()
    return await isNewResident()
  }, 'the new version is resident')
  await waitUntil(async () => {
    await send()
    return (await Promise.all(engines.map((engine) => engine.report()))).every((report) => report?.copies.every(({ version }) => version === '4'))
  }, 'the old version is gone')
  for (let index = 0; index < 5; index++) await send()
  t.same(refused, [])
})
