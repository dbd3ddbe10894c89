import { EventEmitter } from 'node:events'
import t from 'tap'
import { ManualClock } from '../clock/manual-clock.js'
import { silentLogger, type Logger } from '../logs/logs.js'
import { ProcessGuard } from './process-guard.js'

function createGuardedProcess (isServing?: () => boolean) {
  const process = new EventEmitter()
  const clock = ManualClock.create()
  const lines: string[] = []
  const counts = { stops: 0 }
  const log: Logger = { ...silentLogger, error: (message: string) => { lines.push(message) } }
  ProcessGuard.create({ process, clock, log, stop: () => { counts.stops += 1 }, isServing })
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

t.test('errors do not stop a process that serves, and stop it once it does not', async (t) => {
  const state = { isServing: true }
  const { process, clock, counts } = createGuardedProcess(() => state.isServing)
  for (let count = 0; count < 300; count += 1) {
    process.emit('uncaughtException', new Error('once a request'))
    await clock.advance(10)
  }
  t.equal(counts.stops, 0)
  state.isServing = false
  process.emit('uncaughtException', new Error('once a request'))
  t.equal(counts.stops, 1)
})

t.test('a process that does not serve goes on after few errors', async (t) => {
  const { process, counts } = createGuardedProcess(() => false)
  for (let count = 0; count < 20; count += 1) process.emit('uncaughtException', new Error('few'))
  t.equal(counts.stops, 0)
})

t.test('errors of one place are logged once a second, those of other places as well', async (t) => {
  const { process, clock, lines } = createGuardedProcess(() => true)
  const emitRepeated = () => process.emit('uncaughtException', new Error('repeated'))
  for (let count = 0; count < 100; count += 1) emitRepeated()
  t.same(lines, ['unexpected error'])
  process.emit('uncaughtException', new Error('elsewhere'))
  t.equal(lines.length, 2)
  await clock.advance(1_000)
  emitRepeated()
  t.equal(lines.length, 3)
})
