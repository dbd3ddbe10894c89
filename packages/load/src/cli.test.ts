import t from 'tap'
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { SystemClock } from '@figloom/runtime'
import { startStandins } from '@figloom/standin'
import { runCli } from './cli.js'

async function run (...argv: string[]): Promise<{ code: number, stdout: string, stderr: string }> {
  const written = { stdout: '', stderr: '' }
  const code = await runCli(argv, {
    clock: SystemClock.create(),
    stdout: (text) => { written.stdout += text },
    stderr: (text) => { written.stderr += text },
    signal: new AbortController().signal
  })
  return { code, ...written }
}

t.test('sends the load of a file with flags overriding it, and reports as JSON or text', async (t) => {
  const copies = [{ model: 'mesa-8b', version: '1', weightsMiB: 1, kvReserveMiB: 1 }]
  const standins = await startStandins({ standin: [{ kind: 'engine', name: 'r1', tokenMs: 0, copies }] }, SystemClock.create())
  t.teardown(() => standins.close())
  const file = join(t.testdir({}), 'load.toml')
  await writeFile(file, `seed = 4\nmaxRequests = 50\n[[route]]\nname = "menus"\nrequestsPerSecond = 100\ndirect = { url = "${standins.urlOf('r1')}", model = "mesa-8b" }\n`)
  const { code, stdout } = await run('--settings', file, '--max-requests', '3', '--json')
  t.equal(code, 0)
  t.match(JSON.parse(stdout), { seed: 4, planned: 3, total: { answered: 3 } })
  const text = await run('--settings', file, '--max-requests', '2')
  t.match(text.stdout, /^menus: 2 of 2 answered/)
  const engine = standins.standins[0]?.core
  if (engine?.kind === 'engine') engine.engine.setFaults({ crossAnswers: 1 })
  t.equal((await run('--settings', file, '--max-requests', '2')).code, 3)
})

t.test('rejects addresses of other machines', async (t) => {
  const { code, stderr } = await run('--entry', 'http://0.0.0.0:1', '--route', 'menus')
  t.equal(code, 1)
  t.match(stderr, /entries\.0: must be a loopback http URL/)
})

t.test('exit codes without a load and without any answer', async (t) => {
  t.equal((await run()).code, 2)
  t.equal((await run('--entry', 'http://127.0.0.1:1', '--route', 'menus', '--max-requests', '1', '--rate', '100')).code, 4)
})
