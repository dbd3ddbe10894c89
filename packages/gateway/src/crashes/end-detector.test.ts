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
  const detector = EndDetector.create({
    clock,
    instants: InstantSource.create(clock),
    log: silentLogger,
    probe,
    witness,
    onEnd: (end) => ends.push(end),
    onUnconfirmed: (_runner, { verdict }) => unconfirmed.push(verdict)
  })
  const send = (requestId: string): SentRequest => {
    const request = { requestId, featureIds: [requestId], attempt: 1, begun: false }
    detector.onSent(RUNNER, request)
    return request
  }
  return { clock, ends, probe, witness, unconfirmed, detector, send }
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
