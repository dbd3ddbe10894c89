// Guards against a process of which the log doesn't say why it ended.
import { Writable } from 'node:stream'
import t from 'tap'
import { ManualClock } from '../clock/manual-clock.js'
import { BoundedWriter } from '../logs/bounded-writer.js'
import { ResultCode } from '../result/codes.js'
import { ProcessEnd } from './process-end.js'

function createEnd (isFirstRead: boolean) {
  const clock = ManualClock.create()
  const outputs: string[][] = [[], []]
  const exits: number[] = []
  const writers = outputs.map((lines, index) => BoundedWriter.create(new Writable({
    write (chunk, _encoding, done) {
      lines.push(chunk.toString())
      if (index > 0 || isFirstRead) done()
    }
  }), clock))
  const end = ProcessEnd.create({ clock, writers, exit: (exitCode) => { exits.push(exitCode) }, context: { program: 'p' } })
  return { clock, end, outputs, exits }
}

t.test('the reason is written before the process exits, and only the first one', async (t) => {
  const { end, outputs, exits } = createEnd(true)
  await Promise.all([
    end.end({ code: ResultCode.StoppedBySignal, exitCode: 0, fields: { signal: 'SIGTERM' } }),
    end.end({ code: ResultCode.StopFailed, exitCode: 1 })
  ])
  t.same(exits, [0])
  t.equal(outputs[0]?.length, 1)
  t.match(JSON.parse(outputs[0]?.[0] ?? ''), { level: 'info', message: 'process ends', program: 'p', code: 7001, type: 'stopped_by_signal', signal: 'SIGTERM', exitCode: 0 })
  t.same(outputs[1], [])
})

t.test('a full output holds the exit up for a short time only, and the next output takes the line', async (t) => {
  const { clock, end, outputs, exits } = createEnd(false)
  const ended = end.end({ code: ResultCode.StartFailed, exitCode: 1 })
  await clock.advance(200)
  await ended
  t.same(exits, [1])
  t.match(JSON.parse(outputs[1]?.[0] ?? ''), { level: 'error', code: 7003 })
})
