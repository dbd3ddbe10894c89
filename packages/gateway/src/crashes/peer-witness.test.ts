// Guards against ends that hosts confirm whose own links are lost, and against checks of addresses that aren't runners'.
import { ManualClock } from '@figloom/runtime'
import t from 'tap'
import type { HostSummary } from '../members/types.js'
import { createEntry } from '../testing/gateway-fixture.js'
import { addressOf } from '../testing/host-network.js'
import { PeerWitness } from './peer-witness.js'
import { RunnerChecks } from './runner-checks.js'
import { EndVerdict, ListenerProbe, ProbeResult, RunnerCheck } from './types.js'

const RUNNER = { id: 'runner', address: '10.0.0.1:80' }
const ENTRIES = [
  createEntry({ id: 'runner', address: '10.0.0.1:80', availabilityZone: 'a' }),
  createEntry({ id: 'near', address: '10.0.0.2:80', availabilityZone: 'a' }),
  createEntry({ id: 'far', address: '10.0.0.3:80', availabilityZone: 'b' })
]

/** Addresses that aren't listed here are refused. */
class TableProbe extends ListenerProbe {
  readonly results = new Map<string, ProbeResult>()
  readonly probed: string[] = []
  delay: Promise<void> = Promise.resolve()

  override async probe (address: string): Promise<ProbeResult> {
    this.probed.push(address)
    await this.delay
    return this.results.get(address) ?? ProbeResult.Refused
  }
}

function createChecks (accepted: string[], ended: string[] = [], entries = ENTRIES) {
  const probe = new TableProbe()
  for (const address of accepted) probe.results.set(address, ProbeResult.Accepted)
  const checks = RunnerChecks.create({ probe, listed: () => entries, hasEnded: ({ id }) => ended.includes(id), random: () => 0.5 })
  return { probe, checks }
}

function createHost (name: string, availabilityZone: string, leaving = false): HostSummary {
  return { address: { ...addressOf(name), availabilityZone }, incarnation: name, ready: true, leaving, relay: false, holdsLease: false, hearsay: false, cutOff: false }
}

/** A witness at a host of zone `a`. @param answers what the other hosts answer, by name; the others never answer */
function createWitness (hosts: HostSummary[], answers: Record<string, RunnerCheck> = {}, cutOff: string[] = []) {
  const clock = ManualClock.create()
  const asked: string[] = []
  const checkRunner = (peerAddress: string): Promise<RunnerCheck> => {
    const name = peerAddress.split(':')[0] ?? ''
    asked.push(name)
    const answer = answers[name]
    return answer === undefined ? new Promise((_resolve, reject) => clock.setTimer(300, () => reject(new Error('no answer')))) : Promise.resolve(answer)
  }
  const { checks, probe } = createChecks(['10.0.0.3:80'], [], ENTRIES.filter(({ id }) => id !== 'near'))
  const isCutOff = ({ address }: HostSummary) => cutOff.includes(address.host)
  const witness = PeerWitness.create({ clock, calls: { checkRunner }, checks, availabilityZone: 'a', hosts: () => hosts, isCutOff, random: () => 0 })
  return { clock, asked, probe, witness }
}

t.test('a refusal says something about a runner only while a runner of its zone accepts connections', async (t) => {
  t.equal(await createChecks(['10.0.0.2:80']).checks.check(RUNNER.address), RunnerCheck.Refused)
  t.equal(await createChecks(['10.0.0.3:80']).checks.check(RUNNER.address), RunnerCheck.Unknown)
  t.equal(await createChecks([]).checks.check(RUNNER.address), RunnerCheck.Unknown)
  t.equal(await createChecks(['10.0.0.1:80']).checks.check(RUNNER.address), RunnerCheck.Accepted)
})

t.test('a runner that is known to have ended is no control', async (t) => {
  t.equal(await createChecks(['10.0.0.3:80'], ['near']).checks.check(RUNNER.address), RunnerCheck.Refused)
})

t.test('a host that reaches other runners tells silence from refusal', async (t) => {
  const { checks, probe } = createChecks(['10.0.0.2:80'])
  probe.results.set(RUNNER.address, ProbeResult.Silent)
  t.equal(await checks.check(RUNNER.address), RunnerCheck.Silent)
})

t.test('a host connects to listed runners only', async (t) => {
  const { checks, probe } = createChecks(['10.0.0.9:22'])
  t.equal(await checks.check('10.0.0.9:22'), RunnerCheck.Unknown)
  t.same(probe.probed, [])
})

t.test('hosts that ask for one runner at the same time share a check, and checks beyond the bound are left', async (t) => {
  const entries = Array.from({ length: 40 }, (_, index) => createEntry({ id: `r${index}`, address: `10.0.1.${index}:80` }))
  const { checks, probe } = createChecks(entries.map(({ address }) => address), [], entries)
  let release = () => {}
  probe.delay = new Promise((resolve) => { release = resolve })
  const results = [...entries, ...entries].map(({ address }) => checks.check(address))
  release()
  const counts = (await Promise.all(results)).filter((result) => result === RunnerCheck.Accepted).length
  t.equal(counts, 64)
  t.equal(probe.probed.length, 32)
})

t.test('one host that is refused confirms an end, one that is accepted refutes it, and hosts that cannot tell do neither', async (t) => {
  const hosts = [createHost('h1', 'b'), createHost('h2', 'b')]
  const verdictOf = async (h1: RunnerCheck, h2: RunnerCheck) => (await createWitness(hosts, { h1, h2 }).witness.confirmEnd(RUNNER)).verdict
  t.equal(await verdictOf(RunnerCheck.Refused, RunnerCheck.Unknown), EndVerdict.Ended)
  t.equal(await verdictOf(RunnerCheck.Refused, RunnerCheck.Accepted), EndVerdict.Alive)
  t.equal(await verdictOf(RunnerCheck.Unknown, RunnerCheck.Accepted), EndVerdict.Alive)
  t.equal(await verdictOf(RunnerCheck.Silent, RunnerCheck.Unknown), EndVerdict.Unconfirmed)
})

t.test('an end is confirmed within 30 ms though another host does not answer', async (t) => {
  const { clock, witness } = createWitness([createHost('h1', 'b'), createHost('h2', 'b')], { h1: RunnerCheck.Refused })
  let verdict: EndVerdict | undefined
  witness.confirmEnd(RUNNER).then((report) => { verdict = report.verdict })
  await clock.advance(30)
  t.equal(verdict, EndVerdict.Ended)
})

t.test('hosts that do not answer confirm nothing, and the report says why', async (t) => {
  const { clock, witness } = createWitness([createHost('h1', 'b')])
  const report = witness.confirmEnd(RUNNER)
  await clock.advance(300)
  t.match(await report, { verdict: EndVerdict.Unconfirmed, basis: 'h1: unknown (no answer)' })
})

t.test('three hosts are asked, of other zones first, and none that leaves or is cut off', async (t) => {
  const hosts = [createHost('same', 'a'), createHost('leaving', 'b', true), createHost('cut', 'b'), createHost('h1', 'b'), createHost('h2', 'c'), createHost('same-2', 'a')]
  const { asked, witness } = createWitness(hosts, { h1: RunnerCheck.Unknown, h2: RunnerCheck.Unknown, same: RunnerCheck.Unknown }, ['cut'])
  await witness.confirmEnd(RUNNER)
  t.same(asked, ['h1', 'h2', 'same'])
})

t.test('where all other hosts are cut off, nothing is confirmed', async (t) => {
  const { witness } = createWitness([createHost('cut', 'b')], {}, ['cut'])
  t.equal((await witness.confirmEnd(RUNNER)).verdict, EndVerdict.Unconfirmed)
})

t.test('a host that is alone confirms an end only while it reaches another runner', async (t) => {
  const { probe, witness } = createWitness([])
  t.equal((await witness.confirmEnd(RUNNER)).verdict, EndVerdict.Ended)
  probe.results.clear()
  t.equal((await witness.confirmEnd(RUNNER)).verdict, EndVerdict.Unconfirmed)
})
