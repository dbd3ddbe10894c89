/** Guards against bodies in tiny pieces, each of which would keep the large buffer that it arrived in. */
import t from 'tap'
import { ByteBudget, ByteKind } from './byte-budget.js'
import { ByteCollector } from './byte-collector.js'

function createCollector (limitBytes = Infinity) {
  const budget = ByteBudget.create({ kind: ByteKind.Answers, limitBytes, onNearlyFull: () => {}, onRefused: () => {} })
  const hold = budget.open('runner', () => {})
  return { hold, collector: ByteCollector.create(hold) }
}

t.test('pieces of any size come back in order', async (t) => {
  for (const sizeBytes of [1, 7, 800, 65_535, 65_536, 200_000]) {
    const bytes = Buffer.from(Array.from({ length: 300_000 }, (_, index) => index % 251))
    const { collector } = createCollector()
    let isTaken = true
    for (let at = 0; at < bytes.length; at += sizeBytes) isTaken = collector.push(bytes.subarray(at, at + sizeBytes)) && isTaken
    t.ok(isTaken)
    t.equal(collector.bytes, bytes.length)
    t.ok(Buffer.concat(collector.blocks()).equals(bytes))
    t.ok(collector.whole().equals(bytes))
  }
})

t.test('an empty body is empty', async (t) => {
  const { collector } = createCollector()
  t.equal(collector.whole().length, 0)
  t.ok(collector.push(Buffer.alloc(0)))
  t.equal(collector.whole().length, 0)
})

t.test('a body in single bytes keeps little more than its size', async (t) => {
  const { hold, collector } = createCollector()
  const large = Buffer.alloc(65_536, 'x')
  for (let at = 0; at < 1_000_000; at += 1) collector.push(large.subarray(at % 65_536, at % 65_536 + 1))
  t.ok(hold.bytes < 1_000_000 + 65_537)
  t.ok(collector.blocks().length < 50)
})

t.test('a piece without room is refused', async (t) => {
  const { collector } = createCollector(100_000)
  let isTaken = true
  for (let count = 0; count < 10 && isTaken; count += 1) isTaken = collector.push(Buffer.alloc(50_000))
  t.notOk(isTaken)
})
