import t from 'tap'
import { claimOrder, rankGateways, streamsOfGateway, type GatewayCandidate } from './gateways.js'
import { CLAIM_STREAM_COUNT } from './types.js'

const STREAMS = Array.from({ length: CLAIM_STREAM_COUNT }, (_, index) => index)

function hostsOf (count: number): GatewayCandidate[] {
  return Array.from({ length: count }, (_, n) => ({ host: `host-${n}`, availabilityZone: `zone-${n % 3}` }))
}

t.test('two gateways in different availability zones, alike for any order of hosts', (t) => {
  const hosts = hostsOf(7)
  for (const index of STREAMS) {
    const gateways = rankGateways(index, hosts)
    const zones = gateways.map((name) => hosts.find(({ host }) => host === name)?.availabilityZone)
    t.equal(new Set(zones).size, 2)
    t.same(rankGateways(index, [...hosts].reverse()), gateways)
  }
  t.end()
})

t.test('the first gateway changes only for streams of the host that left', (t) => {
  const hosts = hostsOf(60)
  for (const gone of hosts) {
    const rest = hosts.filter(({ host }) => host !== gone.host)
    const changed = STREAMS.filter((index) => rankGateways(index, hosts)[0] !== rankGateways(index, rest)[0])
    t.ok(changed.every((index) => rankGateways(index, hosts)[0] === gone.host))
  }
  t.end()
})

t.test('after the gateways come hosts of the own region, the same for all of its hosts', (t) => {
  const hosts = Array.from({ length: 60 }, (_, n) => ({ host: `host-${n}`, availabilityZone: `zone-${n % 15}` }))
  const zones = new Set(['zone-0', 'zone-1', 'zone-2'])
  for (const index of STREAMS) {
    const order = claimOrder(index, hosts, zones)
    const last = hosts.find(({ host }) => host === order.at(-1))
    t.same(order.slice(0, 2), rankGateways(index, hosts))
    t.ok(zones.has(last?.availabilityZone ?? ''))
  }
  t.end()
})

t.test('few hosts of many are gateways, and one host alone is all', (t) => {
  const hosts = hostsOf(1200)
  const gateways = new Set(STREAMS.flatMap((index) => rankGateways(index, hosts)))
  t.ok(gateways.size <= 2 * CLAIM_STREAM_COUNT)
  const [some = ''] = gateways
  t.not(streamsOfGateway(some, hosts).length, 0)
  t.equal(streamsOfGateway('host-0', hostsOf(1)).length, CLAIM_STREAM_COUNT)
  t.same(rankGateways(0, []), [])
  t.end()
})
