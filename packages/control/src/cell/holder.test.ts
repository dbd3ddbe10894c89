import t from 'tap'
import { OrderAction } from '@figloom/tables'
import { createCellBench, modelOf, stepOf } from './testing/cell-bench.js'

t.test('holder loads a model', async (t) => {
  const bench = createCellBench({ hosts: ['host-a', 'host-b'], runners: [{ name: 'r1' }], models: [modelOf('m')] })
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm')]
  await bench.advance(8_000)
  t.ok(bench.engines.get('r1').holds('m'))
  const holder = bench.holder()
  t.equal(holder.holder.view?.unsettled.length, 0)
  for (const { holder: { view } } of bench.hosts) {
    t.match(view?.runners, [{ name: 'r1', copies: [{ model: 'm', state: 'resident', unsettled: false }] }])
    t.equal(view?.holder?.host, holder.name)
  }
  await bench.stop()
})
