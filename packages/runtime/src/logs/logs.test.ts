import t from 'tap'
import { ManualClock } from '../clock/manual-clock.js'
import { createLogger } from './logs.js'

t.test('writes JSON lines with context and fields, at the configured level and above', async (t) => {
  const lines: string[] = []
  const logger = createLogger({ program: 'p', host: 'h' }, ManualClock.create(), { level: 'warn', write: (line) => { lines.push(line) } })
  logger.info('not written')
  logger.warn('written', { requestId: 'r', code: 2004 })
  t.same(lines.map((line) => JSON.parse(line)), [
    { time: '2026-01-01T00:00:00.000Z', level: 'warn', message: 'written', program: 'p', host: 'h', requestId: 'r', code: 2004 }
  ])
})
