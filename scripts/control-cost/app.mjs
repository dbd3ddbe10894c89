/** Measures processor time, memory and network bytes of idle hosts with and without control. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { startProgram, stopPrograms } from '../first-run/children.mjs'
import { programs, runCli, waitReady } from '../first-run/cluster.mjs'
import { cliSettings, daemonSettings, poolsTable, routesTable, standinSettings, ZONES } from '../first-run/settings.mjs'
import { sleep } from '../fault-run/http.mjs'
import { TcpProxies } from './tcp-proxy.mjs'

export const RUNNER_COUNTS = [1, 4, 16, 64]
const SETTLE_MS = 15_000
const MIB = 1024 * 1024

/** Costs of a host for each number of runners. The variants with and without control run at the same time. */
export async function measureCosts (runnerCounts, seconds) {
  const costs = []
  for (const runners of runnerCounts) {
    const [on, off] = await Promise.all([true, false].map((enabled) => measureVariant(runners, enabled, seconds)))
    const increment = Object.fromEntries(Object.keys(on).map((name) => [name, round(on[name] - off[name])]))
    costs.push({ runners, on, off, increment })
    console.error(JSON.stringify(costs.at(-1)))
  }
  return costs
}

async function measureVariant (runnerCount, enabled, seconds) {
  const directory = await mkdtemp(join(tmpdir(), 'figloom-'))
  const running = []
  const platformProxies = new TcpProxies()
  const peerProxies = new TcpProxies()
  try {
    const daemons = await startAll({ directory, running, platformProxies, peerProxies, runnerCount, enabled })
    await sleep(SETTLE_MS)
    return await measure(daemons, platformProxies, peerProxies, seconds)
  } finally {
    await stopPrograms(running.reverse(), 'SIGKILL')
    platformProxies.close()
    peerProxies.close()
    await rm(directory, { recursive: true })
  }
}

async function startAll ({ directory, running, platformProxies, peerProxies, runnerCount, enabled }) {
  const write = async (name, text) => {
    const path = join(directory, name)
    await writeFile(path, text)
    return path
  }
  const start = async (name, main, text) => {
    const program = await startProgram(name, main, ['--settings', await write(`${name}.toml`, text)])
    running.push(program)
    return program
  }
  const standins = await start('standins', programs.standin, standinSettings(runnerCount))
  const directUrls = Object.fromEntries(standins.ready.listening.map(({ name, url }) => [name, url]))
  const urls = {}
  for (const [name, url] of Object.entries(directUrls)) urls[name] = await platformProxies.listenFor({ url })
  const daemons = []
  for (const [index, zone] of ZONES.entries()) {
    const target = { url: `http://127.0.0.1:${await freePort()}` }
    const text = daemonSettings(`host-${index + 1}`, zone, urls, `[control]\nenabled = ${enabled}\n`)
      .replace('operatorAddress = "127.0.0.1:0"', `operatorAddress = "${new URL(target.url).host}"`)
      .replace('callerAddress', `operatorUrl = "${await peerProxies.listenFor(target)}"\ncallerAddress`)
      .replace('hostListPollMs = 500\n', '').replace('ttlMs = 1000', 'ttlMs = 5000')
    const daemon = await start(`host-${index + 1}`, programs.daemon, text)
    // The operator listener itself, not the proxy in front of it.
    daemon.operatorUrl = target.url
    daemons.push(daemon)
  }
  const cli = await write('figloom.toml', cliSettings(directUrls, daemons[0].operatorUrl))
  await runCli(['publish', await write('routes.toml', routesTable()), await write('pools.toml', poolsTable(urls, runnerCount)), '--settings', cli, '--json'])
  if (enabled) await Promise.all(daemons.map(({ operatorUrl }) => waitReady(operatorUrl)))
  return daemons
}

/** The daemon announces the URL of a proxy to its peers, so its own port has to be known before it listens. */
async function freePort () {
  const server = createServer()
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address()
  await new Promise((resolve) => server.close(resolve))
  return port
}

async function measure (daemons, platformProxies, peerProxies, seconds) {
  const before = await Promise.all(daemons.map(readMetrics))
  const bytesBefore = platformProxies.bytes + 2 * peerProxies.bytes
  const startMs = performance.now()
  const memory = []
  while (performance.now() - startMs < seconds * 1000) {
    await sleep(1000)
    memory.push(...await Promise.all(daemons.map(readMetrics)))
  }
  const after = await Promise.all(daemons.map(readMetrics))
  const tookS = (performance.now() - startMs) / 1000
  const cpu = after.map(({ cpuS }, index) => (cpuS - before[index].cpuS) / tookS * 100)
  return {
    cpuPercent: round(cpu.reduce((sum, percent) => sum + percent, 0) / cpu.length),
    cpuLeastPercent: round(Math.min(...cpu)),
    cpuMostPercent: round(Math.max(...cpu)),
    rssMiB: round(median(memory.map(({ rssMiB }) => rssMiB))),
    heapMiB: round(median(memory.map(({ heapMiB }) => heapMiB))),
    kilobytesPerS: round((platformProxies.bytes + 2 * peerProxies.bytes - bytesBefore) / tookS / daemons.length / 1000)
  }
}

async function readMetrics ({ operatorUrl }) {
  const text = await (await fetch(`${operatorUrl}/metrics`)).text()
  const read = (name) => Number(new RegExp(`^${name}(?:\\{[^}]*\\})? (.+)$`, 'm').exec(text)?.[1])
  return { cpuS: read('process_cpu_seconds_total'), rssMiB: read('process_resident_memory_bytes') / MIB, heapMiB: read('nodejs_heap_size_used_bytes') / MIB }
}

function median (figures) {
  return [...figures].sort((a, b) => a - b)[Math.floor(figures.length / 2)]
}

function round (figure) {
  return Math.round(figure * 100) / 100
}

function cpuRange ({ cpuPercent, cpuLeastPercent, cpuMostPercent }) {
  return `${cpuPercent} [${cpuLeastPercent} to ${cpuMostPercent}]`
}

/** Renders the section of docs/MEASUREMENTS.md. */
export function costSection (costs, seconds) {
  const rows = costs.map(({ runners, on, off, increment }) =>
    `| ${runners} | ${increment.cpuPercent} (${cpuRange(on)} − ${cpuRange(off)}) | ${increment.rssMiB} (${on.rssMiB} − ${off.rssMiB}) | ${increment.heapMiB} (${on.heapMiB} − ${off.heapMiB}) | ${increment.kilobytesPerS} (${on.kilobytesPerS} − ${off.kilobytesPerS}) |`)
  return `## Cost of control (\`node scripts/control-cost.mjs --seconds ${seconds} --page\`)

Mean of three idle hosts of one cell, with control less without (\`[control] enabled = false\`), ${seconds} s each after a
settling time; the two variants run side by side on a shared machine. The setting turns off the holding of cells
(leases, plans, orders); health reports, membership and configuration run in both. In brackets the least and the
greatest of the three hosts: where they overlap, the increment is within the noise. Memory is the median of samples each second;
bytes are those of both directions on connections to log, host list, runners and peers. Reading /metrics once a second
is part of both variants. Asked at most: 1.5% of a core, 32 MB, 6 KB/s.

| runners a cell | processor, % of a core | RSS, MiB | heap used, MiB | KB/s |
| --- | --- | --- | --- | --- |
${rows.join('\n')}`
}
