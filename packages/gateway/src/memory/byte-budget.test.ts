/** Guards against many holders, each within its own limit, that together keep more than the process has memory for. */
import t from 'tap'
import { ByteBudget, ByteKind, FREE_BYTES, type ByteHold, type LargestOwner } from './byte-budget.js'

const LIMIT_BYTES = 1_000_000

function createBudget () {
  const gaveWay: string[] = []
  const refused: string[] = []
  const reports: LargestOwner[] = []
  const budget = ByteBudget.create({ kind: ByteKind.Answers, limitBytes: LIMIT_BYTES, onNearlyFull: (_, largest) => reports.push(largest), onRefused: (owner) => refused.push(owner) })
  const open = (owner: string): ByteHold => budget.open(owner, () => gaveWay.push(owner))
  return { budget, open, gaveWay, refused, reports }
}

t.test('the sum of all holders stays within the limit', async (t) => {
  const { budget, open } = createBudget()
  const holds = Array.from({ length: 50 }, (_, index) => open(`runner-${index % 4}`))
  for (let round = 0; round < 100; round += 1) {
    for (const hold of holds) hold.take(65_536)
    t.ok(budget.usedBytes <= LIMIT_BYTES)
  }
})

t.test('the largest holder of the owner that keeps most gives way', async (t) => {
  const { open, gaveWay } = createBudget()
  const sound = open('sound')
  sound.take(300_000)
  const small = open('endless')
  small.take(200_000)
  const large = open('endless')
  large.take(250_000)
  const further = open('other')
  t.ok(further.take(330_000))
  t.same(gaveWay, ['endless'])
  t.equal(large.bytes, 0)
  t.equal(small.bytes, 200_000)
  t.equal(sound.bytes, 300_000)
})

t.test('a holder that is itself the largest gets no room, and the others keep theirs', async (t) => {
  const { open, gaveWay, refused } = createBudget()
  const sound = open('sound')
  sound.take(100_000)
  const endless = open('endless')
  let taken = 0
  while (endless.take(65_536)) taken += 65_536
  t.ok(taken > 800_000)
  t.same(gaveWay, [])
  t.same(refused, ['endless'])
  t.equal(sound.bytes, 100_000)
})

t.test('small holders always have room', async (t) => {
  const { open } = createBudget()
  const fixed = open('full')
  fixed.take(LIMIT_BYTES + FREE_BYTES)
  fixed.fix()
  for (let count = 0; count < 100; count += 1) t.ok(open('sound').take(FREE_BYTES))
})

t.test('a complete holder does not give way', async (t) => {
  const { open, gaveWay } = createBudget()
  const complete = open('sound')
  complete.take(LIMIT_BYTES)
  complete.fix()
  t.notOk(open('other').take(100_000))
  t.same(gaveWay, [])
})

t.test('everything that is taken is given back', async (t) => {
  const { budget, open } = createBudget()
  const holds = Array.from({ length: 20 }, (_, index) => open(`runner-${index % 3}`))
  for (const hold of holds) for (let count = 0; count < 5; count += 1) hold.take(33_333)
  for (const hold of holds) hold.giveBack(10_000)
  for (const hold of holds) hold.close()
  for (const hold of holds) hold.close()
  t.equal(budget.usedBytes, 0)
  t.notOk(holds[0]?.take(1))
})

t.test('a budget that is nearly used up is reported once, with the owner that keeps most', async (t) => {
  const { open, reports } = createBudget()
  const hold = open('endless')
  open('sound').take(50_000)
  while (hold.take(10_000));
  t.match(reports, [{ owner: 'endless', holders: 1 }])
  hold.close()
  open('endless').take(900_000)
  t.equal(reports.length, 2)
})

t.test('a holder that is closed while another one gives way to it keeps nothing', async (t) => {
  const { budget, open } = createBudget()
  const growing = open('growing')
  budget.open('endless', () => growing.close()).take(LIMIT_BYTES)
  t.notOk(growing.take(100_000))
  t.equal(growing.bytes, 0)
  t.equal(budget.usedBytes, 0)
})
