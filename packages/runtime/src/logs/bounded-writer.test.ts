import { Writable } from 'node:stream'
import t from 'tap'
import { ManualClock } from '../clock/manual-clock.js'
import { BoundedWriter } from './bounded-writer.js'

const limits = { maxLinesPerS: 10, burstLines: 5, maxBufferedBytes: 1_000 }

class TestOutput extends Writable {
  readonly lines: string[] = []
  isReading = true

  override _write (chunk: Buffer, _encoding: string, done: () => void): void {
    this.lines.push(chunk.toString())
    if (this.isReading) done()
  }
}

t.test('lines above the rate limit are dropped and counted', async (t) => {
  const clock = ManualClock.create()
  const output = new TestOutput()
  const writer = BoundedWriter.create(output, clock, limits)
  for (let count = 0; count < 20; count += 1) writer.write('line\n')
  t.equal(output.lines.length, 5)
  t.equal(writer.dropped, 15)
  await clock.advance(6_000)
  writer.write('line\n')
  t.match(output.lines.at(-2), /"log lines dropped","count":15/)
})

t.test('important lines are exempt from the rate limit', async (t) => {
  const output = new TestOutput()
  const writer = BoundedWriter.create(output, ManualClock.create(), limits)
  for (let count = 0; count < 20; count += 1) writer.write('line\n', true)
  t.equal(output.lines.length, 20)
})

t.test('an output that is not read does not block the writer', async (t) => {
  const output = new TestOutput()
  output.isReading = false
  const writer = BoundedWriter.create(output, ManualClock.create(), limits)
  for (let count = 0; count < 5_000; count += 1) writer.write('x'.repeat(50) + '\n', true)
  t.ok(output.writableLength <= limits.maxBufferedBytes)
  t.ok(writer.dropped > 4_000)
})

t.test('a closed output does not end the process', async (t) => {
  const output = new TestOutput()
  const writer = BoundedWriter.create(output, ManualClock.create(), limits)
  output.destroy(new Error('closed'))
  await new Promise((resolve) => setImmediate(resolve))
  writer.write('line\n')
  t.pass('no exception')
})

t.test('the last line reaches the output after all others, even above the limits', async (t) => {
  const clock = ManualClock.create()
  const output = new TestOutput()
  const writer = BoundedWriter.create(output, clock, limits)
  for (let count = 0; count < 20; count += 1) writer.write('line\n')
  t.ok(await writer.writeLast('last\n', 100))
  t.equal(output.lines.at(-1), 'last\n')
})

t.test('a last line that the output does not take is given up after its time', async (t) => {
  const clock = ManualClock.create()
  const output = new TestOutput()
  output.isReading = false
  const writer = BoundedWriter.create(output, clock, limits)
  writer.write('line\n')
  const last = writer.writeLast('last\n', 100)
  await clock.advance(100)
  t.notOk(await last)
})

t.test('a last line to a closed output is given up at once', async (t) => {
  const output = new TestOutput()
  const writer = BoundedWriter.create(output, ManualClock.create(), limits)
  output.destroy(new Error('closed'))
  t.notOk(await writer.writeLast('last\n', 100))
})
