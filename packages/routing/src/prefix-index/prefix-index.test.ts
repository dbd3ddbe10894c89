import t from 'tap'
import { createPrefixHasher, PREFIX_BLOCK_CHARS } from './prefix-hash.js'
import { PrefixIndex, prefixKeys } from './prefix-index.js'

const stored = (sequence: number, prefixHash: string) => ({ sequence, kind: 'stored' as const, model: 'm', prefixHash })
const evicted = (sequence: number, prefixHash: string) => ({ sequence, kind: 'evicted' as const, model: 'm', prefixHash })

t.test('finds the longest cached prefix', async (t) => {
  const index = PrefixIndex.create()
  index.onEvents('a', [stored(1, 'x'), stored(2, 'xy')])
  t.equal(index.expectedShare('a', prefixKeys('m', ['x', 'xy', 'xyz', 'xyzw'])), 0.5)
  t.equal(index.expectedShare('a', prefixKeys('other', ['x'])), 0)
})

t.test('a late event does not restore an evicted prefix', async (t) => {
  const index = PrefixIndex.create()
  index.onEvents('a', [evicted(2, 'x'), stored(1, 'x')])
  t.equal(index.expectedShare('a', prefixKeys('m', ['x'])), 0)
})

t.test('a gap in the events lowers the confidence in older entries only', async (t) => {
  const index = PrefixIndex.create()
  index.onEvents('a', [stored(1, 'x'), stored(5, 'y')])
  t.equal(index.expectedShare('a', prefixKeys('m', ['x'])), 0.5)
  t.equal(index.expectedShare('a', prefixKeys('m', ['y'])), 1)
})

t.test('the number of entries per runner is bounded', async (t) => {
  const index = PrefixIndex.create()
  for (let sequence = 0; sequence < 10_000; sequence++) index.onEvents('a', [stored(sequence, `h${sequence}`)])
  t.equal(index.sizeOf('a'), 4096)
  t.equal(index.expectedShare('a', prefixKeys('m', ['h9999'])), 1)
})

t.test('prompts with a shared prefix have equal hashes for it and different ones after it', async (t) => {
  const hash = await createPrefixHasher()
  const shared = 'a'.repeat(PREFIX_BLOCK_CHARS)
  const [first, second] = [hash(shared + 'b'.repeat(256)), hash(shared + 'c'.repeat(300))]
  t.equal(first[0], second[0])
  t.not(first[1], second[1])
  t.equal(first.length, 2)
})
