// Guards against a process that doesn't start because the one that it replaces still holds a port.
import t from 'tap'
import { ManualClock, silentLogger, type LogFields } from '@figloom/runtime'
import { ListenError } from './listen-error.js'
import { ListenerOpener } from './listener-opener.js'

const ADDRESS = '10.0.0.1:80'

function createOpener (withinMs = 12_000) {
  const clock = ManualClock.create()
  const lines: (LogFields | undefined)[] = []
  const stop = { requested: false }
  const log = { ...silentLogger, warn: (_message: string, fields?: LogFields) => { lines.push(fields) } }
  const opener = ListenerOpener.create({ clock, log, withinMs, isStopped: () => stop.requested })
  return { clock, lines, stop, opener }
}

/** A listener that fails with this code until `attempts` are used up. */
function createListener (code: string, attempts: number) {
  const counts = { attempts: 0 }
  const listen = async () => {
    counts.attempts += 1
    if (counts.attempts <= attempts) throw ListenError.create(ADDRESS, Object.assign(new Error(code), { code }))
  }
  return { counts, listen }
}

function failureOf (opened: Promise<void>): Promise<unknown> {
  return opened.then(() => undefined, (error: unknown) => error)
}

t.test('a listener whose address is taken is opened once it is free', async (t) => {
  for (const code of ['EADDRINUSE', 'EADDRNOTAVAIL']) {
    const { clock, lines, opener } = createOpener()
    const { listen } = createListener(code, 80)
    const opened = opener.open(listen)
    await clock.advance(8_000)
    await opened
    t.ok(lines.length >= 3 && lines.length <= 6, `${lines.length} lines`)
    t.match(lines[0], { address: ADDRESS, systemCode: code, withinMs: 12_000 })
  }
})

t.test('all listeners together have one bound, then the first error counts', async (t) => {
  const { clock, opener } = createOpener(1_000)
  const first = createListener('EADDRINUSE', 9)
  const opened = opener.open(first.listen)
  await clock.advance(900)
  await opened
  const second = createListener('EADDRINUSE', 10_000)
  const failed = failureOf(opener.open(second.listen))
  await clock.advance(200)
  t.match(await failed, { address: ADDRESS, systemCode: 'EADDRINUSE' })
})

t.test('another error fails at once', async (t) => {
  const { opener } = createOpener()
  const { counts, listen } = createListener('EACCES', 1)
  t.match(await failureOf(opener.open(listen)), { systemCode: 'EACCES' })
  t.equal(counts.attempts, 1)
})

t.test('a stop ends the attempts', async (t) => {
  const { clock, stop, opener } = createOpener()
  const { listen } = createListener('EADDRINUSE', 1_000)
  const failed = failureOf(opener.open(listen))
  await clock.advance(500)
  stop.requested = true
  await clock.advance(100)
  t.match(await failed, { systemCode: 'EADDRINUSE' })
})
