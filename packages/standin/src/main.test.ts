import t from 'tap'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'

const program = fileURLToPath(new URL('./main.js', import.meta.url))

function start (file: string) {
  return spawn(process.execPath, [program, '--settings', file], { stdio: ['ignore', 'pipe', 'pipe'] })
}

t.test('prints the URLs of its stand-ins and exits on SIGTERM', async (t) => {
  const file = join(t.testdir({}), 'standins.toml')
  await writeFile(file, '[[standin]]\nkind = "log"\nname = "log"\n\n[[standin]]\nkind = "engine"\nname = "r1"\nmemoryMiB = 100\n')
  const child = start(file)
  const ended = once(child, 'exit')
  const [line] = await once(createInterface({ input: child.stdout }), 'line') as [string]
  const { listening } = JSON.parse(line)
  t.match(listening, [{ name: 'log', kind: 'log' }, { name: 'r1', kind: 'engine' }])
  t.match(await (await request(`${listening[1].url}/report`)).body.json(), { runner: 'r1', memoryMiB: 100 })
  child.kill('SIGTERM')
  t.same(await ended, [0, null])
})

t.test('reports the line of an unknown settings key', async (t) => {
  const file = join(t.testdir({}), 'standins.toml')
  await writeFile(file, '[[standin]]\nkind = "log"\nname = "log"\nretention = 5\n')
  const child = start(file)
  const ended = once(child, 'exit')
  const [line] = await once(createInterface({ input: child.stderr }), 'line') as [string]
  t.match(line, 'standins.toml:4:1: standin[0].retention: unknown key')
  t.same(await ended, [1, null])
})
