import t from 'tap'
import { createRandom } from '../testing/seeded-random.js'
import { chooseRunner, type Candidate } from './choose-runner.js'

const SLOTS = 16
const RUNNERS = 8
const HOSTS = 40
const HOLD_MS = 2_200
const STEP_MS = 10
const LENGTH_MS = 60_000
/** Four fifths of all places are taken on average. */
const ARRIVALS_A_STEP = 0.8 * RUNNERS * SLOTS * STEP_MS / HOLD_MS
/** What a host knows of the others is this old at the most. */
const OLD_MS = 1_000

/** One host's knowledge: what others had at each runner at its last exchange, and its own requests. */
type Knowledge = { others: number[], own: number[][] }

const createKnowledge = (): Knowledge => ({ others: new Array<number>(RUNNERS).fill(0), own: Array.from({ length: RUNNERS }, () => []) })
const running = (endsMs: readonly number[], nowMs: number) => endsMs.filter((endMs) => endMs > nowMs)

/** Takes over the loads of all other hosts, at another moment for each host. */
function exchange (hosts: Knowledge[], endsMs: readonly number[][], nowMs: number): void {
  for (const [index, host] of hosts.entries()) {
    host.own = host.own.map((ends) => running(ends, nowMs))
    const phaseMs = Math.floor(index * OLD_MS / HOSTS / STEP_MS) * STEP_MS
    if (nowMs % OLD_MS === phaseMs) host.others = endsMs.map((ends, runner) => ends.length - (host.own[runner]?.length ?? 0))
  }
}

/** Requests of many hosts to the copies of one model; returns the share that finds its runner full. */
function shareRejected (narrow: boolean): number {
  const random = createRandom(7)
  const hosts = Array.from({ length: HOSTS }, createKnowledge)
  let endsMs: number[][] = Array.from({ length: RUNNERS }, () => [])
  let sent = 0
  let rejected = 0
  let due = 0
  for (let nowMs = 0; nowMs < LENGTH_MS; nowMs += STEP_MS) {
    endsMs = endsMs.map((ends) => running(ends, nowMs))
    exchange(hosts, endsMs, nowMs)
    for (due += ARRIVALS_A_STEP; due >= 1; due -= 1) {
      const index = Math.floor(random() * HOSTS)
      const host = hosts[index] ?? createKnowledge()
      const candidates: Candidate[] = host.others.map((others, runner) => ({ id: `${runner}`, slots: SLOTS, inFlight: others + (host.own[runner]?.length ?? 0), availabilityZone: 'z', needsPermit: false }))
      const chosen = Number(chooseRunner({ candidates, affinityKey: '', availabilityZone: 'z', hostOfOldLoads: narrow ? `host-${index}` : undefined, random })?.id)
      sent += 1
      if ((endsMs[chosen]?.length ?? 0) >= SLOTS) {
        rejected += 1
        continue
      }
      const endMs = nowMs + HOLD_MS * (0.5 + random())
      endsMs[chosen]?.push(endMs)
      host.own[chosen]?.push(endMs)
    }
  }
  return rejected / sent
}

t.test('many hosts with old word on load spread over runners that all seem alike', async (t) => {
  const all = shareRejected(false)
  const few = shareRejected(true)
  t.ok(few < 0.6 * all, `${few} rejected comparing few, ${all} comparing all`)
})
