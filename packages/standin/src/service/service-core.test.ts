import t from 'tap'
import { ManualClock } from '@figloom/runtime'
import { ServiceCore } from './service-core.js'

t.test('runs are counted per idempotency key', async (t) => {
  const service = ServiceCore.create({ clock: ManualClock.create(), service: 'booking' })
  await service.call('k1', { seat: 1 })
  await service.call('k1', { seat: 1 })
  t.same(await service.call('k2', 'x'), { kind: 'answer', status: 200, body: { service: 'booking', key: 'k2', runs: 1, body: 'x' } })
  t.same(service.stats(), { service: 'booking', total: 3, ranTwice: 1, runs: { k1: 2, k2: 1 } })
})

t.test('injected faults before and after the run', async (t) => {
  const service = ServiceCore.create({ clock: ManualClock.create(), service: 'booking' })
  const callWithFault = async (fault: 'resetBeforeRun' | 'failBeforeRun' | 'resetAfterRun' | 'failAfterRun') => {
    service.faults[fault] = 1
    const answer = await service.call(fault, {})
    return [answer.kind === 'answer' ? answer.status : 'reset', service.stats().runs[fault] ?? 0]
  }
  t.same(await callWithFault('resetBeforeRun'), ['reset', 0])
  t.same(await callWithFault('failBeforeRun'), [500, 0])
  t.same(await callWithFault('resetAfterRun'), ['reset', 1])
  t.same(await callWithFault('failAfterRun'), [500, 1])
})
