/** Compares the splitter with one that has the whole body at once, over random bodies in random pieces. */
import fc from 'fast-check'
import t from 'tap'
import { ByteBudget, ByteKind } from '../memory/byte-budget.js'
import { EventSplitter, type EventBatch } from './event-splitter.js'

const RUNS = 2_000
const EVENT_END = /\n\r?\n/g
const FRAGMENTS = ['\n', '\r', '\n\n', '\r\n\r\n', '\n\r\n', 'id: 7', 'id:12\n', 'data: a\n', 'x', ': \r\r', 'y'.repeat(40_000), 'z'.repeat(17_000)]

/** The events of a body, and what is left behind the last one. */
function splitWhole (text: string): { events: string[], rest: string } {
  const events: string[] = []
  let start = 0
  for (const match of text.matchAll(EVENT_END)) {
    if (match.index < start) continue
    events.push(text.slice(start, match.index + match[0].length))
    start = match.index + match[0].length
  }
  return { events, rest: text.slice(start) }
}

/** Cuts a body at these fractions of its length. */
function cut (text: string, fractions: readonly number[]): Buffer[] {
  const bytes = Buffer.from(text, 'latin1')
  const places = [...fractions.map((fraction) => Math.floor(fraction * bytes.length)), bytes.length].sort((a, b) => a - b)
  return places.map((place, index) => bytes.subarray(places[index - 1] ?? 0, place))
}

const body = fc.array(fc.constantFrom(...FRAGMENTS), { maxLength: 60 }).map((fragments) => fragments.join(''))
const cuts = fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { maxLength: 40 })

/** The bytes of each event of a batch. */
function eventsOf ({ bytes, events }: EventBatch): Buffer[] {
  return events.map(({ endAt }, index) => bytes.subarray(events[index - 1]?.endAt ?? 0, endAt))
}

t.test('no byte is lost, doubled or moved, and every kept byte is counted', async (t) => {
  fc.assert(fc.property(body, cuts, (text, fractions) => {
    const budget = ByteBudget.unlimited(ByteKind.Answers)
    const hold = budget.open('runner', () => {})
    const splitter = EventSplitter.create(hold)
    const events: Buffer[] = []
    for (const piece of cut(text, fractions)) {
      const reused = Buffer.from(piece)
      events.push(...eventsOf(splitter.push(reused)))
      if (hold.bytes < splitter.rest.length) return false
    }
    const expected = splitWhole(text)
    const isSame = events.map((bytes) => bytes.toString('latin1')).join('|') === expected.events.join('|') && splitter.rest.toString('latin1') === expected.rest
    splitter.reset()
    return isSame && hold.bytes === 0 && budget.usedBytes === 0
  }), { numRuns: RUNS })
  t.pass()
})

t.test('single bytes give the same events as the whole body', async (t) => {
  fc.assert(fc.property(fc.string({ unit: fc.constantFrom('\n', '\r', 'x', ':'), maxLength: 60 }), (text) => {
    const splitter = EventSplitter.create()
    const events = [...Buffer.from(text, 'latin1')].flatMap((byte) => eventsOf(splitter.push(Buffer.from([byte])))).map((bytes) => bytes.toString('latin1'))
    const expected = splitWhole(text)
    return events.join('|') === expected.events.join('|') && splitter.rest.toString('latin1') === expected.rest
  }), { numRuns: RUNS })
  t.pass()
})

t.test('without room an incomplete event is reported, and nothing stays counted', async (t) => {
  fc.assert(fc.property(body, cuts, (text, fractions) => {
    const budget = ByteBudget.create({ kind: ByteKind.Answers, limitBytes: 20_000, onNearlyFull: () => {}, onRefused: () => {} })
    const hold = budget.open('runner', () => {})
    const splitter = EventSplitter.create(hold)
    const events: string[] = []
    for (const piece of cut(text, fractions)) {
      const complete = eventsOf(splitter.push(piece)).map((bytes) => bytes.toString('latin1'))
      events.push(...complete)
      if (splitter.lacksRoom) break
      if (budget.usedBytes > 20_000) return false
    }
    const isPrefix = splitWhole(text).events.slice(0, events.length).join('|') === events.join('|')
    hold.close()
    splitter.reset()
    return isPrefix && budget.usedBytes === 0
  }), { numRuns: RUNS })
  t.pass()
})
