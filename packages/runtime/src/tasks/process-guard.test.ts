import { EventEmitter } from 'node:events'
import t from 'tap'
import { ManualClock } from '../clock/manual-clock.js'
import { silentLogger, type Logger } from '../logs/logs.js'
import { ProcessGuard } from './process-guard.js'

function createGuardedProcess () {
  const process = new EventEmitter()
  const clock = ManualClock.create()
  const lines: string[] = []
  const counts = { stops: 0 }
  const log: Logger = { ...silentLogger, error: (message: string) => { lines.push(message) } }
  ProcessGuard.create({ process, clock, log, stop: () => { counts.stops += 1 } })
  return { process, clock, lines, counts }
}

t.test('an unexpected error is logged and the process continues', async (t) => {
  const { process, lines, counts } = createGuardedProcess()
  process.emit('uncaughtException', new Error('one'))
  process.emit('unhandledRejection', 'two')
  t.same(lines, ['unexpected error', 'unexpected error'])
  t.equal(counts.stops, 0)
})

t.test('many errors in a short time stop the process once', async (t) => {
  const { process, counts } = createGuardedProcess()
  for (let count = 0; count < 30; count += 1) process.emit('uncaughtException', new Error('again'))
  t.equal(counts.stops, 1)
})

t.test('errors outside the time window are not counted together', async (t) => {
  const { process, clock, counts } = createGuardedProcess()
  for (let count = 0; count < 30; count += 1) {
    process.emit('uncaughtException', new Error('again'))
    await clock.advance(1_000)
  }
  t.equal(counts.stops, 0)
})
