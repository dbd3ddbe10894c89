import t from 'tap'
import { fitsMemory, freeMemoryMiB, isSettledCopy } from './ledger.js'
import { adapterLoadOf, copyOf, intentOf, loadOf, reportOf, unloadOf } from './cell-fixtures.js'

const base = { memoryMiB: 100, transitReserveMiB: 0, report: reportOf(), intents: [] }

t.test('reported copies and unsettled loads count as allocated', async (t) => {
  const input = { ...base, report: reportOf({ copies: [copyOf('m', 'resident', 30, 10)] }), intents: [intentOf(2, loadOf('n', 'r1', 20, 10))] }
  t.equal(freeMemoryMiB(input), 30)
  t.ok(fitsMemory(input, loadOf('o', 'r1', 20, 10)))
  t.notOk(fitsMemory(input, loadOf('o', 'r1', 20, 11)))
})

t.test('load and its reported copy count once', async (t) => {
  const input = { ...base, report: reportOf({ copies: [copyOf('m')] }), intents: [intentOf(2, loadOf('m'))] }
  t.equal(freeMemoryMiB(input), 20)
})

t.test('unload frees no memory until a report confirms it', async (t) => {
  const input = { ...base, report: reportOf({ copies: [copyOf('m', 'unloading')] }), intents: [intentOf(2, unloadOf('m'))] }
  t.equal(freeMemoryMiB(input), 20)
  t.equal(freeMemoryMiB({ ...input, report: reportOf(), intents: [] }), 100)
})

t.test('transit reserve and the smaller of the two capacities apply', async (t) => {
  t.equal(freeMemoryMiB({ ...base, transitReserveMiB: 7, report: reportOf({ memoryMiB: 90 }) }), 83)
})

t.test('adapters count as allocated', async (t) => {
  const input = { ...base, report: reportOf({ copies: [copyOf('m')] }), intents: [intentOf(2, adapterLoadOf('m', 'x', 15))] }
  t.equal(freeMemoryMiB(input), 5)
  t.notOk(fitsMemory(input, adapterLoadOf('m', 'y', 6)))
  t.ok(fitsMemory(input, adapterLoadOf('m', 'x', 15)))
})

t.test('fenced load may still take effect in a later engine process', async (t) => {
  const input = { ...base, intents: [intentOf(2, loadOf('m'), { fencedInstance: 'i1' })] }
  t.notOk(fitsMemory(input, loadOf('n')), 'both could reach a process that starts empty')
  t.ok(fitsMemory({ ...input, report: reportOf({ copies: [copyOf('m')] }) }, loadOf('o', 'r1', 10, 10)))
  t.ok(fitsMemory({ ...base, intents: [] }, loadOf('n')))
})

t.test('copy with an unsettled unload is not settled', async (t) => {
  t.ok(isSettledCopy(copyOf('m'), [], 'i1'))
  t.ok(isSettledCopy(copyOf('m'), [intentOf(2, loadOf('m'))], 'i1'), 'a late load changes nothing')
  t.notOk(isSettledCopy(copyOf('m'), [intentOf(2, unloadOf('m'))], 'i1'))
  t.ok(isSettledCopy(copyOf('m'), [intentOf(2, unloadOf('m'), { fencedInstance: 'i1' })], 'i1'))
  t.notOk(isSettledCopy(copyOf('m', 'loading'), [], 'i1'))
})
