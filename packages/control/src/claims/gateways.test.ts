import t from 'tap'
import { rankClaimHosts, rankGateways, streamsOfGateway, type GatewayCandidate } from './gateways.js'
import { CLAIM_STREAM_COUNT } from './types.js'

const STREAMS = Array.from({ length: CLAIM_STREAM_COUNT }, (_, index) => index)

function hostsOf (count: number): GatewayCandidate[] {
  return Array.from({ length: count }, (_, n) => ({ host: `host-${n}`, availabilityZone: `zone-${n % 3}` }))
}

t.test('a stream has two gateways in different availability zones, whatever the order of the hosts', (t) => {
  const hosts = hostsOf(7)
  for (const index of STREAMS) {
    const gateways = rankGateways(index, hosts)
    const zones = gateways.map((name) => hosts.find(({ host }) => host === name)?.availabilityZone)
    t.equal(new Set(zones).size, 2)
    t.same(rankGateways(index, [...hosts].reverse()), gateways)
  }
  t.end()
})

t.test('when a host leaves, the first gateway changes only for the streams of that host', (t) => {
  const hosts = hostsOf(60)
  for (const gone of hosts) {
    const rest = hosts.filter(({ host }) => host !== gone.host)
    const changed = STREAMS.filter((index) => rankGateways(index, hosts)[0] !== rankGateways(index, rest)[0])
    t.ok(changed.every((index) => rankGateways(index, hosts)[0] === gone.host))
  }
  t.end()
})

t.test('claims go to the gateways first, then to hosts of the own region', (t) => {
  const hosts = Array.from({ length: 60 }, (_, n) => ({ host: `host-${n}`, availabilityZone: `zone-${n % 15}` }))
  const zones = new Set(['zone-0', 'zone-1', 'zone-2'])
  for (const index of STREAMS) {
    const order = rankClaimHosts(index, hosts, zones)
    const last = hosts.find(({ host }) => host === order.at(-1))
    t.same(order.slice(0, 2), rankGateways(index, hosts))
    t.ok(zones.has(last?.availabilityZone ?? ''))
  }
  t.end()
})

t.test('only a few of many hosts are gateways, and a single host is the gateway of every stream', (t) => {
  const hosts = hostsOf(1200)
  const gateways = new Set(STREAMS.flatMap((index) => rankGateways(index, hosts)))
  t.ok(gateways.size <= 2 * CLAIM_STREAM_COUNT)
  const [some = ''] = gateways
  t.not(streamsOfGateway(some, hosts).length, 0)
  t.equal(streamsOfGateway('host-0', hostsOf(1)).length, CLAIM_STREAM_COUNT)
  t.same(rankGateways(0, []), [])
  t.end()
})
