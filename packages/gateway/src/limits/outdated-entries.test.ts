// Guards against requests beyond a runner's limit from a host whose list still shows the runner's earlier process.
import { ManualClock, silentLogger } from '@figloom/runtime'
import t from 'tap'
import { LimitSignal } from '../forward/types.js'
import { InstantSource } from '../lease/instant.js'
import { REQUEST_LIMIT_TEXTS, RunnerLimits } from './runner-limits.js'

const EARLIER = { id: 'runner', startedUnixMs: 5 }
const PRESENT = { id: 'runner', startedUnixMs: 9 }

function createLimits () {
  return RunnerLimits.create({ instants: InstantSource.create(ManualClock.create()), log: silentLogger, texts: REQUEST_LIMIT_TEXTS, origin: 'host', onChange: () => {} })
}

t.test('the limit of the present process applies at a host that still lists the earlier one', async (t) => {
  const limits = createLimits()
  limits.onAnswer(PRESENT, { signal: LimitSignal.Named, requestsPerS: 2 }, 0)
  t.equal(limits.limitOf(EARLIER)?.requestsPerS, 2)
})

t.test('the limit of an earlier process does not apply to the present one', async (t) => {
  const limits = createLimits()
  limits.onAnswer(EARLIER, { signal: LimitSignal.Named, requestsPerS: 2 }, 0)
  t.equal(limits.limitOf(PRESENT), undefined)
})
