import { ManualClock } from '@figloom/runtime'
import t from 'tap'
import { DemandMeter } from './demand-meter.js'

const DEMAND = { model: 'm', version: '1', runnerMsPerRequest: 40, copyMsPerRequest: 20 }

t.test('adds own and peers\' requests over the time since the last samples', async (t) => {
  const clock = ManualClock.create()
  const meter = DemandMeter.create(clock)
  meter.takeSamples('p')
  for (let second = 0; second < 60; second++) {
    clock.advanceSync(1000)
    meter.recordRequests([{ pool: 'p', demand: [{ ...DEMAND, requests: 10 }] }, { pool: 'other', demand: [{ ...DEMAND, requests: 99 }] }])
  }
  meter.takeSamples('p')
  meter.setPeerRates('host-2', [{ pool: 'p', model: 'm', version: '1', requestsPerS: 5, runnerMsPerRequest: 100, copyMsPerRequest: 50 }])
  clock.advanceSync(2000)
  const [sample] = meter.takeSamples('p')
  t.equal(Math.round(sample?.requests ?? 0), 30)
  t.equal(Math.round(sample?.runnerMsPerRequest ?? 0), 60)
})

t.test('drops the demand of a silent peer, and own demand that has decayed', async (t) => {
  const clock = ManualClock.create()
  const meter = DemandMeter.create(clock)
  meter.recordRequests([{ pool: 'p', demand: [{ ...DEMAND, requests: 10 }] }])
  meter.setPeerRates('host-2', [{ pool: 'p', model: 'm', version: '1', requestsPerS: 5, runnerMsPerRequest: 100, copyMsPerRequest: 50 }])
  for (let second = 0; second < 60; second++) {
    clock.advanceSync(1000)
    meter.recordRequests([])
  }
  t.same(meter.ownRates, [])
  t.same(meter.takeSamples('p'), [])
})
