import t from 'tap'
import { GateState } from '../gates/types.js'
import { LimitSignal } from '../forward/types.js'
import { HostNetwork, type NetworkHost } from '../testing/host-network.js'
import { bucketCapacity } from './token-bucket.js'
import { PermitAllocator } from './permit-allocator.js'
import type { PermitRequest } from './types.js'

const RUNNER = { id: 'runner', startedUnixMs: 1 }
const LIMIT_PER_S = 10

function createRequest (changes: Partial<PermitRequest> = {}): PermitRequest {
  return { host: 'h0', runner: RUNNER, wanted: 1, unpermitted: 0, limitReports: [], ...changes }
}

/** Hosts that know each other and the runner's limit. */
async function createHosts (count: number) {
  const network = HostNetwork.create()
  const hosts = network.startMany(count)
  const clock = hosts[0]?.clock as Parameters<typeof HostNetwork.create>[0] & object
  await clock.advance(2_000)
  const [first] = hosts as [NetworkHost, ...NetworkHost[]]
  first.limits.onAnswer(RUNNER, { signal: LimitSignal.Named, requestsPerS: LIMIT_PER_S }, clock.monotonicMs())
  await clock.advance(2_000)
  return { hosts, first, clock }
}

t.test('a request to a limited runner is not written without a permit, or with one that expired or is for another runner', async (t) => {
  const { first, clock } = await createHosts(1)
  await first.limits.takePermit(RUNNER)
  await clock.advance(1_000)
  const permit = await first.limits.takePermit(RUNNER)
  t.ok(first.limits.beforeWrite(RUNNER, permit))
  t.notOk(first.limits.beforeWrite(RUNNER, undefined))
  t.notOk(first.limits.beforeWrite(RUNNER, permit && { ...permit, runnerId: 'other' }))
  await clock.advance(1_500)
  t.notOk(first.limits.beforeWrite(RUNNER, permit))
})

t.test('a limit does not carry over to a new process of the runner', async (t) => {
  const { first } = await createHosts(1)
  t.equal(first.limits.gate(RUNNER).state, GateState.NeedsPermit)
  t.equal(first.limits.gate({ ...RUNNER, startedUnixMs: 2 }).state, GateState.Open)
  t.ok(first.limits.beforeWrite({ ...RUNNER, startedUnixMs: 2 }, undefined))
})

t.test('exactly one of the hosts allocates the permits of a runner', async (t) => {
  const { hosts, clock } = await createHosts(5)
  for (const { limits } of hosts) limits.onPermitRequest(createRequest())
  await clock.advance(1_000)
  const granted = hosts.map(({ limits }) => limits.onPermitRequest(createRequest()).granted)
  t.same(granted.sort(), [0, 0, 0, 0, 1])
})

t.test('after a long time without requests, no more permits are granted at once than the bucket holds', async (t) => {
  const allocator = PermitAllocator.create()
  const options = { requestsPerS: LIMIT_PER_S, random: () => 0 }
  allocator.grant(createRequest(), options, 0)
  t.equal(allocator.grant(createRequest({ wanted: 100 }), options, 10_000).granted, bucketCapacity(LIMIT_PER_S))
})

t.test('requests that hosts sent before they knew of a limit count towards it', async (t) => {
  const options = { requestsPerS: LIMIT_PER_S, random: () => 0 }
  const allocator = PermitAllocator.create()
  allocator.grant(createRequest({ wanted: 0, unpermitted: 50 }), options, 0)
  t.equal(allocator.grant(createRequest({ host: 'h1' }), options, 3_000).granted, 0)
  t.equal(allocator.grant(createRequest({ host: 'h1' }), options, 4_500).granted, 1)
})

t.test('the retries of many refused hosts are spread over time', async (t) => {
  const lastRetryAfterMs = (hosts: number) => {
    const allocator = PermitAllocator.create()
    const options = { requestsPerS: 1, random: () => 0.5 }
    const delays = Array.from({ length: hosts }, (_, index) => allocator.grant(createRequest({ host: `h${index}` }), options, 0).retryAfterMs)
    return delays.at(-1) ?? 0
  }
  t.ok(lastRetryAfterMs(9) >= lastRetryAfterMs(1) + 4_000)
})
