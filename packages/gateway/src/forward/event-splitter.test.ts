import t from 'tap'
import { EventSplitter } from './event-splitter.js'

function split (...chunks: string[]): { ids: (number | undefined)[], texts: string[], rest: string } {
  const splitter = EventSplitter.create()
  const events = chunks.flatMap((chunk) => {
    const { bytes, events } = splitter.push(Buffer.from(chunk))
    return events.map(({ endAt, id }, index) => ({ id, text: bytes.toString('latin1', events[index - 1]?.endAt ?? 0, endAt) }))
  })
  return { ids: events.map(({ id }) => id), texts: events.map(({ text }) => text), rest: splitter.rest.toString() }
}

t.test('complete events are returned, the rest is kept', async (t) => {
  t.same(split('id: 1\ndata: a\n\nid: 2\nda'), { ids: [1], texts: ['id: 1\ndata: a\n\n'], rest: 'id: 2\nda' })
})

t.test('an event split at any byte is reassembled', async (t) => {
  const text = 'id: 7\r\ndata: a\r\n\r\n'
  for (let at = 1; at < text.length; at += 1) {
    const { ids, texts } = split(text.slice(0, at), text.slice(at))
    t.same(ids, [7])
    t.same(texts, [text])
  }
})

t.test('an event without an id is returned', async (t) => {
  t.same(split('data: a\n\n').ids, [undefined])
})

t.test('the id is the number of the first line that names one', async (t) => {
  t.same(split('data: a\nid:12\nid: 13\n\n').ids, [12])
  t.same(split('id: \nid: x\nid: 4x\nid:  5\nid: 006\r\n\n').ids, [6])
  t.same(split('data: id: 1\nidea: 2\n\n').ids, [undefined])
})

t.test('a blank line that arrives in single bytes ends its event', async (t) => {
  for (const text of ['id: 1\r\ndata: a\r\n\r\n', 'id: 1\ndata: a\n\n']) t.same(split(...text).texts, [text])
})

t.test('an event that grows without end takes linear time and is reported as overlong', async (t) => {
  const chunk = Buffer.alloc(256, 'x')
  const splitter = EventSplitter.create()
  for (let bytes = 0; bytes < 1_048_576; bytes += chunk.length) splitter.push(chunk)
  t.notOk(splitter.overlong)
  splitter.push(chunk)
  t.ok(splitter.overlong)
  const startMs = performance.now()
  for (let count = 0; count < 40_000; count += 1) splitter.push(chunk)
  t.ok(performance.now() - startMs < 2_000)
})
