/**
 * Measures the cost of a quota decision and the calls between hosts that quotas need, on a manual clock.
 * `node scripts/quota-costs.mjs` after `npm run build`; prints JSON.
 */
import { createFleetCustomer, QuotaFleet } from '../packages/gateway/dist/quota/testing/quota-fleet.js'
import { QuotaAllocator } from '../packages/gateway/dist/quota/quota-allocator.js'
import { CustomerTokens } from '../packages/gateway/dist/quota/customer-tokens.js'
import { ManualClock } from '@figloom/runtime'

const BOUND = { windowMs: 8_000, overage: 0.1, slack: 11_000 }
const FILL_MS = 4_000
const PLAYED_MS = 4_000
const ROUNDS = 200_000

function nsPerRound (step) {
  for (let round = 0; round < ROUNDS / 10; round += 1) step(round)
  const startMs = performance.now()
  for (let round = 0; round < ROUNDS; round += 1) step(round)
  return Math.round((performance.now() - startMs) * 1e6 / ROUNDS)
}

/** An allocator's answer to one request for tokens, and its memory for a part of a quota. */
function measureAllocator (customers) {
  const allocator = QuotaAllocator.create()
  const options = { sinceMs: -10_000, share: 1, bound: BOUND }
  const terms = { ratePerS: 300_000, burst: 300_000, parts: 3, version: 1 }
  return nsPerRound((round) => allocator.grant({ host: `h${round % 69}`, customer: `c${round % customers}`, part: 0, terms, wanted: [1_460], spent: 0 }, options, round / 100))
}

/** A request of a customer of which there are plenty, and one of a customer that is refused without asking. */
function measureHost (ask) {
  const clock = ManualClock.create()
  const terms = { ratePerS: 1e12, burst: 1e12, parts: 3, version: 1 }
  const tokens = CustomerTokens.create({ clock, instantMs: () => clock.monotonicMs(), ask, terms: () => terms, sharingHosts: () => 1, isInTouch: () => true, settleLater: () => {}, firstPart: 0, onUnreachable: () => {} })
  return { tokens, clock }
}

async function measurePlentiful () {
  const { tokens } = measureHost(async () => ({ granted: 1, left: 1e12, retryAfterMs: 0, isPlentiful: true, hosts: 1, isElsewhere: false }))
  await tokens.take(1, 0)
  return nsPerRound(() => { tokens.take(1, 0) })
}

async function measureRefused () {
  const { tokens } = measureHost(async () => ({ granted: 0, left: 0, retryAfterMs: 1_000, isPlentiful: false, hosts: 69, isElsewhere: false }))
  await tokens.take(1e15, 0)
  return nsPerRound(() => { tokens.take(1e15, 0) })
}

/** Limits of customers by rank, as a few large and many small ones have them. */
function createCustomers (count, totalPerS, useFactor) {
  const weights = Array.from({ length: count }, (_, index) => (index + 1) ** -1.2)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  return weights.map((weight, index) => {
    const usePerS = totalPerS * weight / total
    const ratePerS = Math.max(2_700, usePerS / 0.55)
    return createFleetCustomer(`c${index}`, ratePerS, ratePerS, usePerS * useFactor)
  })
}

/** @param hot whether the largest customer sends six times its usual rate */
async function countCalls (hosts, customerCount, hot) {
  const customers = createCustomers(customerCount, hosts * 11_000, 1)
  if (hot) customers[0].demandPerS *= 6
  const fleet = QuotaFleet.create({ hosts, seed: 1, customers })
  await fleet.run(FILL_MS, false)
  const before = { calls: fleet.calls, admitted: fleet.admitted.length, refused: fleet.refused.length }
  await fleet.run(PLAYED_MS)
  const seconds = PLAYED_MS / 1_000
  return {
    hosts,
    customers: customerCount,
    hot,
    requestsPerSAndHost: Number(((fleet.admitted.length + fleet.refused.length - before.admitted - before.refused) / seconds / hosts).toFixed(2)),
    callsPerSAndHost: Number(((fleet.calls - before.calls) / seconds / hosts).toFixed(2)),
    refused: fleet.refused.length - before.refused,
    refusedBelowLimit: fleet.refused.filter(({ customer }) => !hot || customer !== 'c0').length
  }
}

const plays = []
for (const hosts of [6, 69, 300, 1_200]) {
  for (const hot of [false, true]) plays.push(await countCalls(hosts, 16, hot))
}
plays.push(await countCalls(69, 1_000, false))
console.log(JSON.stringify({
  nsForAllocator: measureAllocator(16),
  nsForAllocatorOf1000Customers: measureAllocator(1_000),
  nsUsedAtOnce: await measurePlentiful(),
  nsRefusedWithoutAsking: await measureRefused(),
  plays
}, null, 2))
