import { writeFileSync } from 'node:fs'
import t, { type Test } from 'tap'
import { createClient, createRouterTransport, type ServiceImpl } from '@connectrpc/connect'
import { InnerService } from '@figloom/protocol'
import { ManualClock, SequentialIdSource } from '@figloom/runtime'
import { MemoryLog } from '@figloom/standin'
import { runFigloom } from './app.js'
import type { DaemonClient } from './environment.js'
import { Output } from './output/report.js'

const SETTINGS = `[operator]
name = "ana"
[log]
url = "http://127.0.0.1:1"
publishTimeoutMs = 2000
[daemon]
operatorUrls = ["http://a", "http://b"]
inForceTimeoutMs = 3000
`
const POOLS = `[[pool]]
name = "p"
region = "r"
[[pool.runner]]
name = "r1"
availabilityZone = "z"
url = "http://127.0.0.1:2"
memoryMiB = 100
[[pool.model]]
name = "m"
version = "1"
weightsMiB = 10
kvReserveMiB = 1
`
const ROUTES = `[[route]]
name = "notes"
model = "m"
version = "1"
pool = "p"
firstTokenTargetMs = 100
betweenTokensTargetMs = 10
`

class MemoryOutput extends Output {
  readonly lines: string[] = []
  readonly errors: string[] = []

  override write (line: string): void { this.lines.push(line) }
  override writeError (line: string): void { this.errors.push(line) }
}

type Daemon = Partial<ServiceImpl<typeof InnerService>>

function createInMemoryClient (daemon: Daemon): DaemonClient {
  return createClient(InnerService, createRouterTransport((router) => router.service(InnerService, daemon)))
}

/** Provides a folder with settings and tables, an in-memory log, and fake daemons by URL. */
function setUp (t: Test, daemons: Record<string, Daemon> = {}) {
  const folder = t.testdir({ 'figloom.toml': SETTINGS, 'pools.toml': POOLS, 'routes.toml': ROUTES, 'other.toml': ROUTES.replace('= 100', '= 200'), 'bad.toml': ROUTES.replace('"p"', '"q"') })
  const clock = ManualClock.create()
  const log = MemoryLog.create({ clock })
  const ids = SequentialIdSource.create('edit')
  const abort = new AbortController()
  const run = async (...argv: string[]) => {
    const output = new MemoryOutput()
    const progress = { ended: false }
    const paths = argv.map((argument) => argument.endsWith('.toml') ? `${folder}/${argument}` : argument)
    const settings = argv.includes('--settings') ? [] : ['--settings', `${folder}/figloom.toml`]
    const exit = runFigloom([...paths, ...settings], {
      clock, ids, output, signal: abort.signal, createLogClient: () => log, createDaemonClient: (url) => createInMemoryClient(daemons[url] ?? {})
    }).finally(() => { progress.ended = true })
    while (!progress.ended) await clock.advance(50)
    const parse = (line: string): unknown => JSON.parse(line)
    return { exit: await exit, output, json: argv.includes('--json') ? output.lines.map(parse) : [] }
  }
  return { run, log, clock, abort, folder }
}

t.test('check validates files and does not append', async (t) => {
  const { run, log } = setUp(t)
  t.match(await run('check', 'routes.toml', 'pools.toml', '--json'), { exit: 0, json: [{ outcome: 'ok', routes: 1, pools: 1, joined: true }] })
  t.match(await run('check', 'routes.toml'), { exit: 0, output: { lines: [/references between them were not checked/] } })
  t.match(await run('check', 'bad.toml', 'pools.toml'), { exit: 1, output: { errors: [/bad.toml:5:1: route\[0\].pool: no pool is named q/] } })
  t.match(await run('check', 'none.toml', 'bad.toml', '--json'), { exit: 1, json: [{ outcome: 'invalid', issues: [{ message: 'cannot be read (ENOENT)' }] }] })
  t.equal(log.appendCount, 0)
})

t.test('invalid command lines exit with the usage code', async (t) => {
  const { run } = setUp(t)
  for (const argv of [[], ['paint'], ['toString'], ['check'], ['status', 'x'], ['explain'], ['check', 'a', '--colour'], ['publish', 'a', '--base', 'x'], ['publish', 'a', '--base', '-1'], ['publish', 'a', '--base', '1', '--base', '2']]) {
    t.equal((await run(...argv)).exit, 2, argv.join(' '))
  }
  t.match(await run('--help'), { exit: 0, output: { lines: [/figloom publish FILE/] } })
})

t.test('publishing the same files again changes nothing', async (t) => {
  const { run, log } = setUp(t)
  t.match(await run('publish', 'routes.toml', 'pools.toml', '--json'), { exit: 0, json: [{ outcome: 'accepted', version: 1, editId: 'edit-1' }] })
  t.match(await run('publish', 'routes.toml', '--json'), { exit: 0, json: [{ outcome: 'unchanged', version: 1 }] })
  t.equal(log.appendCount, 1)
})

t.test('invalid tables are not appended', async (t) => {
  const { run, log } = setUp(t)
  t.match(await run('publish', 'bad.toml', 'pools.toml', '--json'), { exit: 1, json: [{ outcome: 'invalid', issues: [{ line: 5, column: 1, key: 'route[0].pool' }] }] })
  t.equal(log.appendCount, 0)
})

t.test('an edit of rows that changed since its base is a conflict', async (t) => {
  const { run } = setUp(t)
  await run('publish', 'routes.toml', 'pools.toml')
  await run('publish', 'other.toml')
  t.match(await run('publish', 'other.toml', '--base', '1', '--json'), { exit: 3, json: [{ rows: [{ row: 'route:notes', author: 'ana', offset: 2 }] }] })
  t.match(await run('publish', 'routes.toml', '--base', '1', '--json'), { exit: 0, json: [{ outcome: 'unchanged' }] }, 'rows equal to the base are not part of the edit')
  t.match(await run('publish', 'routes.toml', '--base', '9'), { exit: 2 })
})

t.test('a lost answer to an append does not publish the edit twice', async (t) => {
  const { run, log } = setUp(t)
  log.faults.loseAnswers = 1
  t.match(await run('publish', 'routes.toml', 'pools.toml', '--json'), { exit: 0, json: [{ outcome: 'accepted', version: 1 }] })
  t.match(await run('publish', 'other.toml', 'pools.toml', '--edit-id', 'edit-1', '--json'), { exit: 0, json: [{ outcome: 'accepted', version: 1 }] })
})

t.test('log that fails during an append: the outcome is unknown and a retry is safe', async (t) => {
  const { run, log } = setUp(t)
  const append = log.append.bind(log)
  log.append = (...args) => append(...args).mapErr((failure) => {
    log.faults.down = true
    return failure
  })
  log.faults.loseAnswers = 1
  const lost = await run('publish', 'routes.toml', 'pools.toml', '--json')
  t.match(lost, { exit: 4, json: [{ outcome: 'unreachable', editId: 'edit-1', baseOffset: 0, hint: /safe to retry with --edit-id edit-1 --base 0\./ }] })
  log.faults.down = false
  t.match(await run('publish', 'routes.toml', 'pools.toml', '--edit-id', 'edit-1', '--base', '0', '--json'), { exit: 0, json: [{ outcome: 'accepted', version: 1 }] })
  t.equal(log.appendCount, 1)
})

t.test('log that is down or refuses appends', async (t) => {
  const { run, log } = setUp(t)
  log.faults.rejectAppends = 1000
  t.match(await run('publish', 'routes.toml', 'pools.toml', '--json'), { exit: 4, json: [{ hint: 'Nothing was published.' }] })
  log.faults.down = true
  t.match(await run('publish', 'routes.toml', 'pools.toml', '--json'), { exit: 4, json: [{ hint: 'Nothing was published by this call.' }] })
  t.match(await run('diff', 'routes.toml'), { exit: 4 })
})

t.test('diff lists changed rows', async (t) => {
  const { run } = setUp(t)
  await run('publish', 'routes.toml', 'pools.toml')
  t.match(await run('diff', 'other.toml', '--json'), { exit: 0, json: [{ version: 1, peak: 'side-by-side', changes: [{ row: 'route', name: 'notes', value: { firstTokenTargetMs: 200 } }] }] })
  t.match(await run('diff', 'other.toml'), { output: { lines: [/^1 rows differ from version 1/, /^~ route:notes /] } })
})

t.test('publish --wait waits for live hosts that are not leaving', async (t) => {
  let version = 0n
  let calls = 0
  const peers = [{ host: 'b', configVersion: 0n, live: true }, { host: 'gone', live: false }, { host: 'c', live: true, leaving: true }]
  const getStatus = () => {
    calls += 1
    if (calls === 2) version = 1n
    return { host: 'a', configVersion: 1n, peers: peers.map((peer) => peer.host === 'b' ? { ...peer, configVersion: version } : peer) }
  }
  const { run } = setUp(t, { 'http://b': { getStatus } })
  t.match(await run('publish', 'routes.toml', 'pools.toml', '--wait', '--json'), { exit: 0, json: [{ version: 1, inForce: true }] })
  t.match(await run('publish', 'other.toml', '--wait', '--json'), { exit: 5, json: [{ version: 2, inForce: false, hostsBehind: ['a', 'b'] }] })
})

t.test('status, explain and drain', async (t) => {
  const drained: string[] = []
  const daemon: Daemon = {
    getStatus: () => ({ host: 'a', ready: true, configVersion: 7n, cells: [{ cell: 'p', holder: 'a', runners: [{ runner: 'r1', healthy: true, memoryMib: 100n, resident: ['m@1'] }] }] }),
    explain: ({ route }) => ({ explanationJson: route === 'notes' ? '{"model":"m"}' : '' }),
    drain: ({ target }) => {
      drained.push(target)
      return target === 'r1' ? {} : { resultCode: 1002, message: 'no such runner' }
    }
  }
  const { run } = setUp(t, { 'http://a': daemon })
  t.match(await run('status', '--json'), { exit: 0, json: [{ host: 'a', configVersion: '7', leaving: false }] })
  t.match(await run('status'), { output: { lines: [/^a .* version 7 ready/, /^cell p, lease held by a$/, /^ {2}r1 healthy, 0 of 100 MiB.*m@1/] } })
  t.match(await run('explain', 'notes', '--json'), { exit: 0, json: [{ model: 'm' }] })
  t.match(await run('explain', 'none'), { exit: 1 })
  t.match(await run('drain', 'r1'), { exit: 0 })
  t.match(await run('drain', 'r9', '--json'), { exit: 1, json: [{ outcome: 'refused', resultCode: 1002 }] })
  t.same(drained, ['r1', 'r9'])
})

t.test('no daemon answers', async (t) => {
  const { run } = setUp(t)
  for (const argv of [['status'], ['explain', 'x'], ['drain', 'x']]) t.equal((await run(...argv)).exit, 4)
})

t.test('watch prints changes until it is interrupted', async (t) => {
  let calls = 0
  const getStatus = () => {
    calls += 1
    if (calls === 4) abort.abort()
    return { host: 'a', logAgeMs: BigInt(calls), configVersion: calls < 3 ? 1n : 2n }
  }
  const { run, abort } = setUp(t, { 'http://a': { getStatus } })
  t.match(await run('watch', '--json'), { exit: 0, json: [{ configVersion: '1' }, { configVersion: '2' }, { outcome: 'interrupted' }] })
})

t.test('invalid settings are reported by line and key', async (t) => {
  const { run, folder } = setUp(t)
  const bad = await run('status', '--settings', 'routes.toml')
  t.match(bad, { exit: 1, output: { errors: [/:1:1: daemon: missing key/, /:1:1: log: missing key/, /:1:1: operator: missing key/, /:1:3: route: unknown key/] } }, folder)
})

t.test('explain-request prints a timeline from files', async (t) => {
  const { run, folder } = setUp(t)
  const at = { time: '2026-03-01T10:00:00.000Z', host: 'h1', requestId: 'r1', atMs: 0 }
  const lines = [{ ...at, message: 'request accepted' }, { ...at, message: 'request refused on arrival', reason: 'too large' }]
  writeFileSync(`${folder}/host.log`, lines.map((line) => JSON.stringify(line)).join('\n'))
  t.match(await run('explain-request', 'r1', `${folder}/host.log`), { exit: 0, output: { lines: [/request accepted/, /too large/, 'cause: Refused on arrival: too large.'] } })
  t.match(await run('explain-request', 'r2', `${folder}/host.log`, '--json'), { exit: 1, json: [{ outcome: 'no-such-request', lineCount: 2 }] })
  t.match(await run('explain-request', 'r1', `${folder}/none.log`, '--json'), { exit: 1, json: [{ outcome: 'unreadable' }] })
  t.equal((await run('explain-request', 'r1')).exit, 2)
})
