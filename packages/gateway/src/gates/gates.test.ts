import t from 'tap'
import { ManualClock, Registry, silentLogger } from '@figloom/runtime'
import { PauseSignal, type AnswerPause } from '../forward/types.js'
import { InstantSource } from '../lease/instant.js'
import { HostNetwork, type NetworkHost } from '../testing/host-network.js'
import { createGateMetrics } from './gate-metrics.js'
import { LeavingRunners } from './leaving-runners.js'
import { RunnerGates } from './runner-gates.js'
import { MAX_PAUSE_MS } from './runner-pauses.js'
import { ClosedBy, GateState, type LocatedRunner } from './types.js'

const RUNNER: LocatedRunner = { id: 'runner', address: '10.0.0.1:80', startedUnixMs: 5 }
const PAUSE_MS = 2_000

function createHost (clock = ManualClock.create()) {
  const network = HostNetwork.create()
  const [{ limits }] = network.startMany(1) as [NetworkHost]
  const closures = RunnerGates.create({
    clock,
    instants: InstantSource.create(clock),
    log: silentLogger,
    metrics: createGateMetrics(new Registry()),
    host: 'host-1',
    limits,
    leaving: LeavingRunners.create()
  })
  const receiveAnswer = (pause: AnswerPause, requestId = 'first') =>
    closures.onAnswer({ runner: RUNNER, requestId, signals: { leaving: false, pause } })
  const askPause = (pauseMs = PAUSE_MS, requestId?: string) => receiveAnswer({ signal: PauseSignal.Named, pauseMs }, requestId)
  const leave = () => closures.onAnswer({ runner: RUNNER, requestId: 'first', signals: { leaving: true, pause: { signal: PauseSignal.None } } })
  const state = (runner = RUNNER) => closures.gate(runner).state
  return { clock, closures, receiveAnswer, askPause, leave, state }
}

t.test('a runner is closed for the pause that it asked for, and its gate states when it opens', async (t) => {
  const { clock, closures, askPause, state } = createHost()
  askPause()
  t.same(closures.gate(RUNNER), { state: GateState.Closed, by: ClosedBy.Pause, opensInMs: PAUSE_MS })
  await clock.advance(PAUSE_MS - 1)
  t.equal(state(), GateState.Closed)
  t.notOk(closures.mayWrite(RUNNER, 'second'))
  await clock.advance(1)
  t.equal(state(), GateState.Open)
})

t.test('a shorter pause does not shorten a longer one', async (t) => {
  const { clock, askPause, state } = createHost()
  askPause()
  askPause(100)
  await clock.advance(500)
  t.equal(state(), GateState.Closed)
})

t.test('a pause is limited to MAX_PAUSE_MS', async (t) => {
  const { closures, askPause } = createHost()
  askPause(Infinity)
  t.match(closures.gate(RUNNER), { opensInMs: MAX_PAUSE_MS })
})

t.test('a pause that can not be parsed closes a runner for a default time', async (t) => {
  const { clock, receiveAnswer, state } = createHost()
  receiveAnswer({ signal: PauseSignal.Unreadable, text: 'later' })
  t.equal(state(), GateState.Closed)
  await clock.advance(1_500)
  t.equal(state(), GateState.Open)
})

t.test('neither steps of the wall clock nor suspensions shorten a pause', async (t) => {
  const { clock, askPause, state } = createHost()
  askPause()
  clock.stepWallClock(60_000)
  await clock.advance(PAUSE_MS - 1)
  t.equal(state(), GateState.Closed)
})

t.test('after a pause one request probes the runner and the others wait for its answer', async (t) => {
  const { clock, closures, askPause, receiveAnswer, state } = createHost()
  askPause()
  await clock.advance(PAUSE_MS)
  closures.onChosen(RUNNER, 'second')
  t.equal(state(), GateState.Closed)
  t.ok(closures.mayWrite(RUNNER, 'second'))
  t.notOk(closures.mayWrite(RUNNER, 'third'))
  receiveAnswer({ signal: PauseSignal.None }, 'second')
  t.equal(state(), GateState.Open)
  t.ok(closures.mayWrite(RUNNER, 'third'))
})

t.test('a probe that is refused closes the runner again', async (t) => {
  const { clock, closures, askPause, state } = createHost()
  askPause()
  await clock.advance(PAUSE_MS)
  closures.onChosen(RUNNER, 'second')
  askPause(PAUSE_MS, 'second')
  await clock.advance(PAUSE_MS - 1)
  t.equal(state(), GateState.Closed)
})

t.test('when a probe ends without an answer, another request may probe', async (t) => {
  const { clock, closures, askPause, state } = createHost()
  askPause()
  await clock.advance(PAUSE_MS)
  closures.onChosen(RUNNER, 'second')
  closures.onEnded(RUNNER, 'second', false)
  t.equal(state(), GateState.Open)
  closures.onChosen(RUNNER, 'third')
  t.equal(state(), GateState.Closed)
})

t.test('a probe without an answer does not delay the other requests for long', async (t) => {
  const { clock, closures, askPause, state } = createHost()
  askPause()
  await clock.advance(PAUSE_MS)
  closures.onChosen(RUNNER, 'second')
  await clock.advance(600)
  t.equal(state(), GateState.Open)
})

t.test('an answer from before the pause does not end it', async (t) => {
  const { askPause, receiveAnswer, state } = createHost()
  askPause()
  receiveAnswer({ signal: PauseSignal.None }, 'earlier')
  t.equal(state(), GateState.Closed)
})

t.test('a new process at the same address does not inherit a pause or a leaving signal', async (t) => {
  const { askPause, leave, state } = createHost()
  askPause()
  leave()
  t.equal(state({ ...RUNNER, startedUnixMs: 6 }), GateState.Open)
  t.equal(state({ ...RUNNER, id: 'renamed' }), GateState.Closed)
  t.equal(state({ ...RUNNER, address: '10.0.0.1:81' }), GateState.Open)
})

t.test('a report about an earlier process does not replace the signal of the present one', async (t) => {
  const { closures, leave, state } = createHost()
  leave()
  closures.receive([{ runnerId: 'runner', address: RUNNER.address, startedUnixMs: 4, origin: 'host-2', heardAgoMs: 0 }], 0)
  t.equal(state(), GateState.Closed)
})

t.test('a leaving runner is reported to other hosts, which stop using it', async (t) => {
  const first = createHost()
  const second = createHost()
  first.leave()
  await first.clock.advance(200)
  const reports = first.closures.leavingReports()
  t.match(reports, [{ runnerId: 'runner', origin: 'host-1', heardAgoMs: 200 }])
  second.closures.receive(reports, 50)
  t.match(second.closures.gate(RUNNER), { state: GateState.Closed, by: ClosedBy.Leaving, opensInMs: Infinity })
  t.notOk(second.closures.mayWrite(RUNNER, 'second'))
  t.match(second.closures.leavingReports(), [{ origin: 'host-1', heardAgoMs: 250 }])
})

t.test('a runner that left long ago is no longer reported but stays closed', async (t) => {
  const { clock, closures, leave, state } = createHost()
  leave()
  await clock.advance(60_000)
  closures.sweep()
  t.same(closures.leavingReports(), [])
  t.equal(state(), GateState.Closed)
})

t.test('runners that leave or pause accept no orders', async (t) => {
  const { clock, closures, askPause, leave } = createHost()
  askPause()
  t.notOk(closures.acceptsOrders(RUNNER))
  await clock.advance(PAUSE_MS)
  t.ok(closures.acceptsOrders(RUNNER))
  leave()
  t.notOk(closures.acceptsOrders(RUNNER))
})
