import t from 'tap'
import { chat, startCluster, until } from './testing/cluster.js'

t.test('a host that starts while the log is down serves through its peers', async (t) => {
  const { log, startHost } = await startCluster(t, { hostCount: 2 })
  log.faults.down = true
  const fresh = await startHost('host-3', 'braga-c')
  await until(async () => (await fetch(`${fresh.operatorUrl}/readyz`)).ok, 'configuration of a peer in force')
  for (let index = 0; index < 10; index++) {
    const answer = await fetch(`${fresh.callerUrl}/v1/chat/completions`, { method: 'POST', body: chat(`fresh ${index}`, { max_tokens: 2 }) })
    t.equal(answer.status, 200, await answer.text())
  }
})
