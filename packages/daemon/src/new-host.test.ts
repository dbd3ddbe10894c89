import t from 'tap'
import { chat, startCluster, waitUntil } from './testing/cluster.js'

t.test('a host that starts while the log is down gets the configuration from its peers and serves', async (t) => {
  const { log, startHost } = await startCluster(t, { hostCount: 2 })
  log.faults.down = true
  const fresh = await startHost('host-3', 'braga-c')
  await waitUntil(async () => (await fetch(`${fresh.operatorUrl}/readyz`)).ok, 'a configuration from a peer is in force')
  for (let index = 0; index < 10; index++) {
    const answer = await fetch(`${fresh.callerUrl}/v1/chat/completions`, { method: 'POST', body: chat(`fresh ${index}`, { max_tokens: 2 }) })
    t.equal(answer.status, 200, await answer.text())
  }
})
