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
