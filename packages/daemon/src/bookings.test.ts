/** Non-idempotent calls to several hosts while the log or the service fails. */
import t from 'tap'
import { startCluster, waitUntil, type TestCluster } from './testing/cluster.js'

type Booking = { status: number, error: { code: number, ran: string } | undefined }

async function book (cluster: TestCluster, host: number, key: string): Promise<Booking> {
  const answer = await fetch(`${cluster.hosts[host]?.callerUrl}/v1/services/bookings/slots`, {
    method: 'POST', headers: { 'idempotency-key': key }, body: '{}'
  })
  const body = await answer.json() as { error?: { code: number, ran: string } }
  return { status: answer.status, error: body.error }
}

t.test('simultaneous calls to two hosts with one idempotency key run once', async (t) => {
  const cluster = await startCluster(t, { hostCount: 2 })
  for (let round = 0; round < 10; round++) {
    const key = `same-moment-${round}`
    const answers = await Promise.all([book(cluster, 0, key), book(cluster, 1, key), book(cluster, 1, key)])
    t.equal(cluster.service.stats().runs[key], 1)
    t.ok(answers.some(({ status }) => status === 200))
    t.notOk(answers.some(({ error }) => error?.ran === 'no'), 'no caller is told that the call did not run')
  }
})

t.test('a call whose connection is reset after it ran is not run again', async (t) => {
  const cluster = await startCluster(t, { hostCount: 2 })
  cluster.service.faults.resetAfterRun = 1
  const first = await book(cluster, 0, 'reset')
  t.match(first.error, { ran: 'unknown' })
  for (const host of [0, 1]) t.match(await book(cluster, host, 'reset'), { status: 409, error: { ran: 'unknown' } })
  t.equal(cluster.service.stats().runs['reset'], 1)
})

t.test('while the log is down a call is refused as not run; afterwards its key can be used', async (t) => {
  const cluster = await startCluster(t, { hostCount: 1 })
  await book(cluster, 0, 'before')
  cluster.log.faults.down = true
  let refused: Booking | undefined
  await waitUntil(async () => {
    refused = await book(cluster, 0, 'outage')
    return refused.error?.code === 4004
  }, 'the call is refused')
  t.match(refused, { status: 503, error: { ran: 'no' } })
  t.equal(cluster.service.stats().runs['outage'], undefined)
  cluster.log.faults.down = false
  await waitUntil(async () => (await book(cluster, 0, 'outage')).status === 200, 'booked after the outage')
  t.equal(cluster.service.stats().runs['outage'], 1)
})
