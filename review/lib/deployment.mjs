/** A small deployment on loopback: a store, runners of a case and gateway processes, started as the deploy file does. */
import { spawn } from 'node:child_process'
import { createWriteStream, readFileSync } from 'node:fs'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Store } from './store.mjs'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const ZONES = ['norte-a', 'norte-b', 'norte-c']
const HEARTBEAT_MS = 1_200
const START_TIMEOUT_MS = 20_000
const MEMORY_CHECK_MS = 20
const KIBIBYTES_PER_MB = 1_000 / 1.024

/** Those of the site cuc-central. */
const BOUNDS = { seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackTimeoutMs: 4000, syncTimeS: 4, drainTimeoutMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retrySlack: 52, recoveryS: 12, passMs: 120, retryAfterS: 0, requireFence: false, leaseTtlMs: 3000, thawSlackMs: 300, ceilingWindowS: 5, originOverage: 1.1, ttl_max_s: 5 }
const LIMITS = { cpuShare: 0.675, cpuCores: 1, memoryMb: 350, maxFds: 4200, linkMbps: 1000, diskMb: 0 }
const CALLER_LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5_000, idleTimeoutMs: 30_000 }

export const HOST_NAME = 'comedor.example'
/** One loopback network for each run, so that runs don't meet. */
const NETWORK = `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`

export class Deployment {
  hosts = []
  #runners = []

  /** @param routes and services as in the operator's configuration */
  static async start ({ record, hostCount, routes, services }) {
    const deployment = new Deployment()
    deployment.record = record
    deployment.folder = await mkdtemp(join(tmpdir(), 'figloom-review-'))
    deployment.store = await Store.start(`${NETWORK}.200`)
    deployment.store.put('keyed.op', 'config', { version: 7, routes, services, limits: CALLER_LIMITS })
    deployment.ports = await freePorts(hostCount)
    deployment.heartbeats = setInterval(() => deployment.#writeEntries(), HEARTBEAT_MS)
    for (let index = 0; index < hostCount; index += 1) deployment.hosts.push(new Host(deployment, index))
    return deployment
  }

  runnerIp (index) {
    return `${NETWORK}.${100 + index}`
  }

  list (runner) {
    this.#runners.push(runner)
    this.store.put('keyed.servers', runner.id, runner.entry())
  }

  async startHosts () {
    for (const host of this.hosts) await host.start()
    await Promise.all(this.hosts.map((host) => host.untilReady()))
  }

  async stop () {
    clearInterval(this.heartbeats)
    for (const host of this.hosts) host.kill()
    await Promise.all(this.hosts.map(({ exited }) => exited))
    for (const runner of this.#runners) runner.stop()
    this.store.stop()
    await rm(this.folder, { recursive: true, force: true })
  }

  #writeEntries () {
    for (const runner of this.#runners) if (runner.up) this.store.put('keyed.servers', runner.id, runner.entry())
  }
}

export class Host {
  starts = 0
  /** Highest resident memory that was seen, in MB. */
  peakMb = 0
  isKilledForMemory = false

  constructor (deployment, index) {
    this.deployment = deployment
    this.index = index
    this.name = `edge-${ZONES[index % ZONES.length]}-${index + 1}`
    this.ip = `${NETWORK}.${index + 1}`
  }

  async start () {
    const { folder, ports, record, store } = this.deployment
    const file = join(folder, `${this.name}.json`)
    await writeFile(file, JSON.stringify(this.#settings(ports, store)))
    const { program, words } = runCommand()
    this.starts += 1
    const log = createWriteStream(join(folder, `${this.name}-${this.starts}.log`))
    const child = spawn(program, words, { cwd: ROOT, stdio: ['ignore', 'pipe', 'pipe'], env: { FIGLOOM_SETTINGS: file, PATH: process.env.PATH } })
    child.stdout.pipe(log)
    child.stderr.pipe(log)
    this.child = child
    this.exited = new Promise((resolve) => child.once('exit', (code, signal) => {
      record.write(`${this.name}: process ended, code ${code}, signal ${signal}`)
      resolve()
    }))
    record.write(`${this.name}: process started at ${this.ip}`)
  }

  get up () {
    return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
  }

  get address () {
    return { host: this.ip, port: this.deployment.ports.front }
  }

  signal (name) {
    this.deployment.record.write(`${this.name}: ${name} sent`)
    this.child.kill(name)
  }

  kill () {
    if (this.up) this.child.kill('SIGKILL')
  }

  async untilReady () {
    const endMs = performance.now() + START_TIMEOUT_MS
    while (performance.now() < endMs && this.up) {
      if (await statusOf(this.ip, this.deployment.ports.ready, '/readiness') === 200) return
      await new Promise((resolve) => setTimeout(resolve, 50))
    }
    throw new Error(`${this.name} did not become ready`)
  }

  get memoryMb () {
    try {
      const kibibytes = Number(/^VmRSS:\s+(\d+) kB/m.exec(readFileSync(`/proc/${this.child.pid}/status`, 'utf8'))?.[1] ?? 0)
      return kibibytes / KIBIBYTES_PER_MB
    } catch {
      return 0
    }
  }

  /** Kills the process when it exceeds `memoryMb`, as the platform does. */
  enforceMemory () {
    const timer = setInterval(() => {
      const { memoryMb } = this
      this.peakMb = Math.max(this.peakMb, memoryMb)
      if (!this.up) return clearInterval(timer)
      if (memoryMb <= LIMITS.memoryMb) return
      this.isKilledForMemory = true
      this.deployment.record.write(`${this.name}: ${Math.round(memoryMb)} MB are in use, more than memoryMb = ${LIMITS.memoryMb}; the platform kills the process`)
      this.kill()
      clearInterval(timer)
    }, MEMORY_CHECK_MS)
    timer.unref()
  }

  #settings (ports, store) {
    return {
      nodeName: this.name,
      role: 'gateway',
      machineClass: 'edge',
      serves: ['edge', 'control_plane', 'directory'],
      ip: this.ip,
      zone: ZONES[this.index % ZONES.length],
      region: 'norte',
      zones: Object.fromEntries(ZONES.map((zone) => [zone, 'norte'])),
      listen: { front: `${this.ip}:${ports.front}`, ready: `${this.ip}:${ports.ready}`, control: `${this.ip}:${ports.control}`, directory: `${this.ip}:${ports.directory}` },
      internalPorts: [ports.inner, ports.inner],
      seedNodes: this.deployment.hosts.slice(0, 3).map(({ ip }) => `${ip}:${ports.control}`),
      bootstrap: true,
      limits: LIMITS,
      dataDir: null,
      discovery: 'platform',
      entryType: 'directory',
      heartbeatMs: HEARTBEAT_MS,
      bounds: BOUNDS,
      platform: { address: store.address, form: 'log', writesPerS: 400, readsPerS: 2000, parts: 8, appendMs: 4, recordBytes: 262144, callBytes: 2097152, keep_s: 300, ttlMinMs: 1000 }
    }
  }
}

/** The command of the deploy file's role. */
function runCommand () {
  const deployFile = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const [program, ...words] = /^run = "(.*)"$/m.exec(deployFile)[1].split(' ')
  return { program: program === 'node' ? process.execPath : program, words }
}

function statusOf (host, port, path) {
  return new Promise((resolve) => {
    const call = request({ host, port, path, agent: false, timeout: 1_000 }, (response) => {
      response.resume()
      response.once('end', () => resolve(response.statusCode))
    })
    call.once('error', () => resolve(undefined))
    call.once('timeout', () => call.destroy())
    call.end()
  })
}

/** Ports that are free on the addresses of all hosts. */
async function freePorts (hostCount) {
  const names = ['front', 'ready', 'control', 'directory', 'inner']
  for (;;) {
    const first = 20_000 + Math.floor(Math.random() * 10_000)
    const ports = Object.fromEntries(names.map((name, index) => [name, first + index]))
    const probes = Array.from({ length: hostCount }, (_, index) => Object.values(ports).map((port) => isFree(`${NETWORK}.${index + 1}`, port))).flat()
    if ((await Promise.all(probes)).every((free) => free)) return ports
  }
}

function isFree (ip, port) {
  return new Promise((resolve) => {
    const server = createServer().once('error', () => resolve(false))
    server.listen(port, ip, () => server.close(() => resolve(true)))
  })
}
