import { Writable } from 'node:stream'
import t from 'tap'
import { ManualClock } from '../clock/manual-clock.js'
import { BoundedWriter } from './bounded-writer.js'

const limits = { maxLinesPerS: 10, burstLines: 5, maxBufferedBytes: 1_000 }

class Reader extends Writable {
  readonly lines: string[] = []
  reading = true

  override _write (chunk: Buffer, _encoding: string, done: () => void): void {
    this.lines.push(chunk.toString())
    if (this.reading) done()
  }
}

t.test('lines beyond the rate are dropped and counted', async (t) => {
  const clock = ManualClock.create()
  const reader = new Reader()
  const writer = BoundedWriter.create(reader, clock, limits)
  for (let count = 0; count < 20; count += 1) writer.write('line\n')
  t.equal(reader.lines.length, 5)
  t.equal(writer.dropped, 15)
  await clock.advance(6_000)
  writer.write('line\n')
  t.match(reader.lines.at(-2), /"log lines dropped","count":15/)
})

t.test('important lines pass the rate', async (t) => {
  const reader = new Reader()
  const writer = BoundedWriter.create(reader, ManualClock.create(), limits)
  for (let count = 0; count < 20; count += 1) writer.write('line\n', true)
  t.equal(reader.lines.length, 20)
})

t.test('a reader that stops reading holds nothing up', async (t) => {
  const reader = new Reader()
  reader.reading = false
  const writer = BoundedWriter.create(reader, ManualClock.create(), limits)
  for (let count = 0; count < 5_000; count += 1) writer.write('x'.repeat(50) + '\n', true)
  t.ok(reader.writableLength <= limits.maxBufferedBytes)
  t.ok(writer.dropped > 4_000)
})

t.test('a reader that went away ends nothing', async (t) => {
  const reader = new Reader()
  const writer = BoundedWriter.create(reader, ManualClock.create(), limits)
  reader.destroy(new Error('gone'))
  await new Promise((resolve) => setImmediate(resolve))
  writer.write('line\n')
  t.pass('no exception')
})
