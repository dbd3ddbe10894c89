// Guards against a block that refuses most of a class and that nobody is told of.
import t from 'tap'
import { RefusalMeter } from './refusal-meter.js'

const WINDOW_MS = 10_000

t.test('a block that refuses a tenth of the requests is reported at the end of a window, others are not', async (t) => {
  const meter = RefusalMeter.create()
  meter.sweep(0)
  for (let count = 0; count < 300; count += 1) {
    meter.onRequest()
    if (count % 5 === 0) meter.onRefused('popular')
    if (count % 100 === 0) meter.onRefused('deadly')
  }
  t.same(meter.sweep(WINDOW_MS - 1), [])
  t.same(meter.sweep(WINDOW_MS), [{ featureId: 'popular', refused: 60, requests: 300, sharePercent: 20 }])
  t.equal(meter.largestShare, 0.2)
  t.same(meter.sweep(2 * WINDOW_MS), [])
  t.equal(meter.largestShare, 0)
})

t.test('refusals are counted from the block on', async (t) => {
  const meter = RefusalMeter.create()
  meter.onRefused('part')
  t.equal(meter.refusedSinceBlock('part'), 1)
  meter.onChanged('part')
  t.equal(meter.refusedSinceBlock('part'), 0)
})
