import t from 'tap'
import { GateState } from '../closures/types.js'
import { LimitWord } from '../forward/types.js'
import { HostNetwork, type NetworkHost } from '../testing/host-network.js'
import { bucketDepth } from './rate-bucket.js'
import { PermitDesk } from './permit-desk.js'
import type { PermitRequest } from './types.js'

const RUNNER = { id: 'runner', startedUnixMs: 1 }
const LIMIT_PER_S = 10

function wish (changes: Partial<PermitRequest> = {}): PermitRequest {
  return { host: 'h0', runner: RUNNER, wanted: 1, unpermitted: 0, limitReports: [], ...changes }
}

/** Hosts that know each other and a limit of the runner. */
async function createHosts (count: number) {
  const network = HostNetwork.create()
  const hosts = network.startMany(count)
  const clock = hosts[0]?.clock as Parameters<typeof HostNetwork.create>[0] & object
  await clock.advance(2_000)
  const [first] = hosts as [NetworkHost, ...NetworkHost[]]
  first.limits.onAnswer(RUNNER, { word: LimitWord.Named, requestsPerS: LIMIT_PER_S }, clock.monotonicMs())
  await clock.advance(2_000)
  return { hosts, first, clock }
}

t.test('a permit is void after its time, for another runner, and where there is none', async (t) => {
  const { first, clock } = await createHosts(1)
  await first.limits.takePermit(RUNNER)
  await clock.advance(1_000)
  const permit = await first.limits.takePermit(RUNNER)
  t.ok(first.limits.onSending(RUNNER, permit))
  t.notOk(first.limits.onSending(RUNNER, undefined))
  t.notOk(first.limits.onSending(RUNNER, permit && { ...permit, runnerId: 'other' }))
  await clock.advance(1_500)
  t.notOk(first.limits.onSending(RUNNER, permit))
})

t.test('a new process of a runner has no limit of the former one', async (t) => {
  const { first } = await createHosts(1)
  t.equal(first.limits.gate(RUNNER).state, GateState.NeedsPermit)
  t.equal(first.limits.gate({ ...RUNNER, startedUnixMs: 2 }).state, GateState.Open)
  t.ok(first.limits.onSending({ ...RUNNER, startedUnixMs: 2 }, undefined))
})

t.test('of all hosts one shares a limit out', async (t) => {
  const { hosts, clock } = await createHosts(5)
  for (const { limits } of hosts) limits.onPermitRequest(wish())
  await clock.advance(1_000)
  const granted = hosts.map(({ limits }) => limits.onPermitRequest(wish()).granted)
  t.same(granted.sort(), [0, 0, 0, 0, 1])
})

t.test('however long nobody asked, no more start at once than the bucket holds', async (t) => {
  const desk = PermitDesk.create()
  const terms = { requestsPerS: LIMIT_PER_S, random: () => 0 }
  desk.grant(wish(), terms, 0)
  t.equal(desk.grant(wish({ wanted: 100 }), terms, 10_000).granted, bucketDepth(LIMIT_PER_S))
})

t.test('what hosts sent before they knew of a limit counts', async (t) => {
  const terms = { requestsPerS: LIMIT_PER_S, random: () => 0 }
  const desk = PermitDesk.create()
  desk.grant(wish({ wanted: 0, unpermitted: 50 }), terms, 0)
  t.equal(desk.grant(wish({ host: 'h1' }), terms, 3_000).granted, 0)
  t.equal(desk.grant(wish({ host: 'h1' }), terms, 4_500).granted, 1)
})

t.test('many hosts that are refused come back spread over time', async (t) => {
  const pauseOfLast = (hosts: number) => {
    const desk = PermitDesk.create()
    const terms = { requestsPerS: 1, random: () => 0.5 }
    const pauses = Array.from({ length: hosts }, (_, index) => desk.grant(wish({ host: `h${index}` }), terms, 0).retryAfterMs)
    return pauses.at(-1) ?? 0
  }
  t.ok(pauseOfLast(9) >= pauseOfLast(1) + 4_000)
})
