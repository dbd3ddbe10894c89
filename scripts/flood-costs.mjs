/** Measures memory growth and longest event loop delay of a host while runners send endless bodies on 20 connections: node scripts/flood-costs.mjs */
import { fork } from 'node:child_process'
import { createServer } from 'node:net'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { createEntry, createRoute, GatewayFixture } from '../packages/gateway/dist/testing/gateway-fixture.js'

const CONNECTIONS = 20
const OBSERVATION_MS = 3_000
const MB = 1_048_576

/** Runner that refuses every request with a response whose body never ends. */
function runFlood () {
  const block = Buffer.alloc(65_536, 'x')
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', (chunk) => {
      const id = /request-id: (\S+)/i.exec(chunk.toString('latin1'))?.[1]
      socket.write(`HTTP/1.1 503 Full\r\nRequest-Id: ${id}\r\nNot-Run: 1\r\n\r\n`)
      const write = () => { while (!socket.destroyed && socket.write(block)); }
      socket.on('drain', write)
      write()
    })
  })
  server.listen(0, '127.0.0.1', () => process.send(server.address().port))
}

async function measure () {
  const floodProcess = fork(process.argv[1], ['flood'])
  const port = await new Promise((resolve) => floodProcess.once('message', resolve))
  const fixture = await GatewayFixture.create([createRoute({ maxAttempts: 1 })])
  fixture.context.runners.upsert(createEntry({ id: 'flood', address: `127.0.0.1:${port}`, slots: 100 }))
  const beforeBytes = process.memoryUsage.rss()
  const cpuBefore = process.cpuUsage()
  const delay = monitorEventLoopDelay({ resolution: 1 })
  delay.enable()
  let peakBytes = beforeBytes
  const sampler = setInterval(() => { peakBytes = Math.max(peakBytes, process.memoryUsage.rss()) }, 20)
  const answers = Array.from({ length: CONNECTIONS }, (_, index) => fixture.call({ id: `r${index}` }))
  await Promise.all(answers)
  await new Promise((resolve) => setTimeout(resolve, OBSERVATION_MS))
  clearInterval(sampler)
  delay.disable()
  const { user, system } = process.cpuUsage(cpuBefore)
  console.log(JSON.stringify({
    connections: CONNECTIONS,
    memoryGrowthMb: Math.round((peakBytes - beforeBytes) / MB),
    longestStandstillMs: Math.round(delay.max / 1e6),
    processorS: Number(((user + system) / 1e6).toFixed(2)),
    watchedS: OBSERVATION_MS / 1_000
  }))
  floodProcess.kill()
  process.exit(0)
}

if (process.argv[2] === 'flood') runFlood()
else await measure()
