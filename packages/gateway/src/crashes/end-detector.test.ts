// Guards against broken connections that count as the end of a runner's process, and against ends that go unnoticed.
import { ManualClock, silentLogger } from '@figloom/runtime'
import t from 'tap'
import { InstantSource } from '../lease/instant.js'
import { EndDetector } from './end-detector.js'
import { Departure, EndVerdict, ListenerProbe, ProbeResult, RunnerWitness, type ProcessEnd, type SentRequest, type WitnessReport } from './types.js'

const RUNNER = { id: 'runner', address: '10.0.0.1:80', startedUnixMs: 5 }

class FixedProbe extends ListenerProbe {
  probes = 0

  constructor (public refused: boolean) {
    super()
  }

  override async probe (): Promise<ProbeResult> {
    this.probes += 1
    return this.refused ? ProbeResult.Refused : ProbeResult.Accepted
  }
}

class FixedWitness extends RunnerWitness {
  verdict: EndVerdict = EndVerdict.Ended

  override async confirmEnd (): Promise<WitnessReport> {
    return { verdict: this.verdict, basis: 'a test' }
  }
}

function createDetector (refused = true) {
  const clock = ManualClock.create()
  const ends: ProcessEnd[] = []
  const probe = new FixedProbe(refused)
  const witness = new FixedWitness()
  const unconfirmed: EndVerdict[] = []
  const listed = [RUNNER]
  const detector = EndDetector.create({
    clock,
    instants: InstantSource.create(clock),
    log: silentLogger,
    probe,
    witness,
    listed: () => listed,
    onEnd: (end) => ends.push(end),
    onUnconfirmed: (_runner, { verdict }) => unconfirmed.push(verdict)
  })
  const send = (requestId: string): SentRequest => {
    const request = { requestId, featureIds: [requestId], attempt: 1, begun: false }
    detector.onSent(RUNNER, request)
    return request
  }
  return { clock, ends, probe, witness, unconfirmed, listed, detector, send }
}

t.test('an end is reported once, with all requests that were at the process', async (t) => {
  const { clock, detector, ends, probe, send } = createDetector()
  send('waiting')
  send('running')
  send('unnoticed')
  detector.onBegun(RUNNER, 'running')
  detector.onLeft(RUNNER, 'waiting', Departure.Broken)
  detector.onLeft(RUNNER, 'running', Departure.Broken)
  await clock.advance(50)
  t.same(ends.map(({ requests }) => requests.map(({ requestId, begun }) => [requestId, begun])), [[['waiting', false], ['running', true], ['unnoticed', false]]])
  detector.onLeft(RUNNER, 'unnoticed', Departure.Broken)
  await clock.advance(500)
  t.equal(ends.length, 1)
  t.equal(probe.probes, 1)
})

t.test('a broken connection to a process that still listens is no end', async (t) => {
  const { clock, detector, ends, send } = createDetector(false)
  send('broken')
  detector.onLeft(RUNNER, 'broken', Departure.Broken)
  await clock.advance(50)
  t.same(ends, [])
})

t.test('requests that ended before the process are not reported', async (t) => {
  const { clock, detector, ends, send } = createDetector()
  send('answered')
  detector.onLeft(RUNNER, 'answered', Departure.Answered)
  send('waiting')
  detector.onLeft(RUNNER, 'waiting', Departure.Broken)
  await clock.advance(50)
  t.same(ends[0]?.requests.map(({ requestId }) => requestId), ['waiting'])
})

t.test('an end after an earlier broken connection is reported', async (t) => {
  const { clock, detector, ends, probe, send } = createDetector(false)
  send('first')
  detector.onLeft(RUNNER, 'first', Departure.Broken)
  await clock.advance(50)
  probe.refused = true
  send('second')
  detector.onLeft(RUNNER, 'second', Departure.Broken)
  await clock.advance(50)
  t.same(ends[0]?.requests.map(({ requestId }) => requestId), ['second'])
})

t.test('refused connections are no end as long as nobody confirms it, and a later end is reported', async (t) => {
  const { clock, detector, ends, witness, unconfirmed, send } = createDetector()
  for (const verdict of [EndVerdict.Alive, EndVerdict.Unconfirmed]) {
    witness.verdict = verdict
    send(verdict)
    detector.onLeft(RUNNER, verdict, Departure.Broken)
    await clock.advance(1_000)
  }
  t.same(ends, [])
  t.same(unconfirmed, [EndVerdict.Alive, EndVerdict.Unconfirmed])
  witness.verdict = EndVerdict.Ended
  send('last')
  detector.onLeft(RUNNER, 'last', Departure.Broken)
  await clock.advance(50)
  t.same(ends.map(({ requests }) => requests.map(({ requestId }) => requestId)), [['last']])
})

t.test('an end that busy hosts confirm only when asked again is reported, with the time at which it happened', async (t) => {
  const { clock, detector, ends, witness, unconfirmed, send } = createDetector()
  witness.verdict = EndVerdict.Unconfirmed
  send('a')
  const brokenMs = clock.monotonicMs()
  detector.onLeft(RUNNER, 'a', Departure.Broken)
  await clock.advance(100)
  witness.verdict = EndVerdict.Ended
  await clock.advance(200)
  t.same(unconfirmed, [])
  t.same(ends.map(({ endedMs }) => endedMs - brokenMs), [0])
})

const NEXT = { ...RUNNER, startedUnixMs: 9 }

t.test('an end is noticed from the list of runners where the next process listens before the probe', async (t) => {
  const { clock, detector, ends, listed, send } = createDetector(false)
  send('broken')
  detector.onLeft(RUNNER, 'broken', Departure.Broken)
  send('sent to the next process')
  await clock.advance(400)
  t.same(ends, [])
  listed[0] = NEXT
  await clock.advance(200)
  t.match(ends, [{ runner: RUNNER, requests: [{ requestId: 'broken' }] }])
  t.equal(ends[0]?.requests.length, 1)
})

t.test('the same where another host reaches the next process, or none can tell', async (t) => {
  for (const verdict of [EndVerdict.Alive, EndVerdict.Unconfirmed]) {
    const { clock, detector, ends, listed, send, witness } = createDetector()
    witness.verdict = verdict
    send('broken')
    detector.onLeft(RUNNER, 'broken', Departure.Broken)
    await clock.advance(1_000)
    listed[0] = NEXT
    await clock.advance(200)
    t.equal(ends.length, 1, verdict)
  }
})

t.test('a host that reaches the next process does not make the path to the runner a broken one', async (t) => {
  const { clock, detector, ends, unconfirmed, listed, send, witness } = createDetector()
  witness.verdict = EndVerdict.Alive
  send('broken')
  detector.onLeft(RUNNER, 'broken', Departure.Broken)
  listed[0] = NEXT
  await clock.advance(200)
  t.equal(ends.length, 1)
  t.same(unconfirmed, [])
})

t.test('a broken connection is no end where the next process was listed before it broke, or long after', async (t) => {
  const { clock, detector, ends, listed, send } = createDetector(false)
  send('late')
  detector.onLeft(RUNNER, 'late', Departure.Broken)
  await clock.advance(5_000)
  listed[0] = NEXT
  await clock.advance(200)
  send('to the next process')
  detector.onLeft(RUNNER, 'to the next process', Departure.Broken)
  await clock.advance(5_000)
  t.same(ends, [])
})

t.test('a process whose start was not known before is no other one', async (t) => {
  const { clock, detector, ends, listed } = createDetector(false)
  const unknown = { id: RUNNER.id, address: RUNNER.address }
  detector.onSent(unknown, { requestId: 'broken', featureIds: [], attempt: 1, begun: false })
  detector.onLeft(unknown, 'broken', Departure.Broken)
  listed[0] = RUNNER
  await clock.advance(5_000)
  t.same(ends, [])
})
