/**
 * Measures the cost of a gateway host by number of hosts: real processes on loopback that share a fake store, without callers.
 * `node scripts/host-costs.mjs [--hosts 6,30,80] [--seconds 10] [--runners 63] [--profile DIR]` after `npm run build` and
 * `npm run bundle`; prints JSON. With --profile the first host writes a processor profile into DIR.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { FakeStore } from '../platform/dist/fake-store.js'

const { values } = parseArgs({
  options: {
    hosts: { type: 'string', default: '6,30,80' },
    seconds: { type: 'string', default: '10' },
    runners: { type: 'string', default: '63' },
    profile: { type: 'string' }
  }
})
const SETTLE_MS = 6_000
const HEARTBEAT_MS = 1_200
const CLOCK_TICKS_PER_S = 100
const MODELS_PER_RUNNER = 3
const FRONT_PORT = 8149
const PEER_PORT = 7380

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))
const hostIp = (index) => `127.1.${Math.floor(index / 250)}.${index % 250 + 1}`

function writeSettings (directory, index, count, storeAddress) {
  const ip = hostIp(index)
  const path = join(directory, `${index}.json`)
  writeFileSync(path, JSON.stringify({
    nodeName: `host-${index}`,
    ip,
    zone: `zone-${index % 3}`,
    listen: { front: `${ip}:${FRONT_PORT}`, ready: `${ip}:8141`, directory: `${ip}:8143` },
    internalPorts: [PEER_PORT, PEER_PORT + 15],
    seedNodes: Array.from({ length: Math.min(3, count) }, (_, seed) => `${hostIp(seed)}:8144`),
    limits: { cpuShare: 0.324, cpuCores: index % 13 === 0 ? 4 : 1, linkMbps: 1000 },
    bounds: { contactMs: 4000, drainTimeoutMs: 3000 },
    platform: { address: storeAddress }
  }))
  return path
}

function entryOf (index) {
  const models = Array.from({ length: MODELS_PER_RUNNER }, (_, copy) => ({ name: `model-${(index * MODELS_PER_RUNNER + copy) % 166}`, version: 1, adapters: ['a1', 'a2'] }))
  return { service: 'engines', address: `127.2.0.${index + 1}:9000`, zone: `zone-${index % 3}`, slots: 16, state: 'ready', sequence: 1, models }
}

/** Writes the runners' entries in turn, so that the topic changes all the time. */
function startHeartbeats (store, runnerCount) {
  let next = 0
  return setInterval(() => {
    store.put('keyed.servers', `i-${next % runnerCount}`, entryOf(next % runnerCount))
    next += 1
  }, HEARTBEAT_MS / runnerCount)
}

function readProcessorMs (pid) {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ')
  return (Number(fields[11]) + Number(fields[12])) * 1000 / CLOCK_TICKS_PER_S
}

const readResidentMb = (pid) => Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))[1]) / 1024

async function isRelay (index) {
  const text = await (await fetch(`http://${hostIp(index)}:${PEER_PORT}/metrics`)).text()
  return /^figloom_gateway_relay\{.*\} 1$/m.test(text)
}

function summarize (hosts) {
  const mean = (field) => hosts.length === 0 ? null : Number((hosts.reduce((sum, host) => sum + host[field], 0) / hosts.length).toFixed(4))
  return { hosts: hosts.length, cores: mean('cores'), mostCores: Math.max(...hosts.map(({ cores }) => cores)), residentMb: mean('residentMb') }
}

async function measure (count) {
  const directory = mkdtempSync(join(tmpdir(), 'host-costs-'))
  const store = await FakeStore.create()
  const runnerCount = Number(values.runners)
  const limits = { maxHeaderBytes: 16384, maxBodyBytes: 100000, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }
  store.put('keyed.op', 'config', { version: 1, routes: [], services: [], limits })
  for (let index = 0; index < runnerCount; index += 1) store.put('keyed.servers', `i-${index}`, entryOf(index))
  const heartbeats = startHeartbeats(store, runnerCount)
  const children = Array.from({ length: count }, (_, index) => {
    const profile = index === 0 && values.profile !== undefined ? ['--cpu-prof', `--cpu-prof-dir=${values.profile}`] : []
    const env = { PATH: process.env.PATH, FIGLOOM_SETTINGS: writeSettings(directory, index, count, store.address) }
    return spawn(process.execPath, [...profile, 'target/figloom-gateway.cjs'], { env, stdio: 'ignore' })
  })
  try {
    await sleep(SETTLE_MS)
    const before = children.map(({ pid }) => readProcessorMs(pid))
    const callsBefore = store.calls
    const startMs = performance.now()
    await sleep(Number(values.seconds) * 1000)
    const elapsedMs = performance.now() - startMs
    const calls = store.calls - callsBefore
    const hosts = await Promise.all(children.map(async ({ pid }, index) => ({
      cores: Number(((readProcessorMs(pid) - before[index]) / elapsedMs).toFixed(4)), residentMb: readResidentMb(pid), relay: await isRelay(index)
    })))
    return {
      count,
      relays: summarize(hosts.filter(({ relay }) => relay)),
      others: summarize(hosts.filter(({ relay }) => !relay)),
      storeCallsPerSAHost: Number((calls / count / elapsedMs * 1000).toFixed(2))
    }
  } finally {
    clearInterval(heartbeats)
    for (const child of children) child.kill(values.profile === undefined ? 'SIGKILL' : 'SIGTERM')
    if (values.profile !== undefined) await sleep(SETTLE_MS)
    await store.close()
    rmSync(directory, { recursive: true, force: true })
  }
}

for (const count of values.hosts.split(',').map(Number)) console.log(JSON.stringify(await measure(count)))
