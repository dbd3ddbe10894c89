/** Runs stand-ins and entry hosts as processes that can be killed, frozen and restarted individually. */
import { spawn } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { startProgram } from '../first-run/children.mjs'
import { programs, waitReady } from '../first-run/cluster.mjs'
import { cliSettings, daemonSettings, engineNames, engineSettings, standinSettings, ZONES } from '../first-run/settings.mjs'
import { poolsTable, routesTable } from './tables.mjs'

const ENGINE_SETTINGS = 'tokenMs = 15\nloadMs = 800'
const HOST_SETTINGS = '[shutdown]\ngraceMs = 10000\n'

/** The processes of one run. A process is `{ name, file, main, child, exited, ready, sinceMs, frozen, up }`; `sinceMs` is its last start or thaw. */
export class FaultCluster {
  hosts = []
  engines = []
  platform
  urls = {}

  /** Starts everything, publishes the first tables and waits until every host is ready. */
  static async create ({ engineCount = 3, log = 'ignore' } = {}) {
    const cluster = new FaultCluster()
    cluster.log = log
    cluster.directory = await mkdtemp(join(tmpdir(), 'figloom-'))
    try {
      await cluster.#start(engineCount)
      return cluster
    } catch (error) {
      await cluster.stop()
      throw error
    }
  }

  async #start (engineCount) {
    this.platform = await this.#startProcess('standins', programs.standin, standinSettings(0))
    this.#noteUrls(this.platform)
    for (const [index, name] of engineNames(engineCount).entries()) {
      const checksFencing = index !== engineCount - 1
      const fields = `${ENGINE_SETTINGS}\nchecksFencing = ${checksFencing}`
      const engine = await this.#startProcess(name, programs.standin, engineSettings(name, fields))
      this.#noteUrls(engine)
      engine.zone = ZONES[index % ZONES.length]
      engine.checksFencing = checksFencing
      const port = new URL(this.urls[name]).port
      await writeFile(engine.file, engineSettings(name, `${fields}\nport = ${port}`))
      this.engines.push(engine)
    }
    for (const [index, zone] of ZONES.entries()) {
      const name = `host-${index + 1}`
      this.hosts.push(await this.#startProcess(name, programs.daemon, daemonSettings(name, zone, this.urls, HOST_SETTINGS)))
    }
    this.cliFile = await this.#write('figloom.toml', cliSettings(this.urls, this.hosts[0].ready.listening.operatorUrl))
    const published = await this.publish(1)
    if (published.outcome !== 'accepted') throw new Error(`the first tables were not accepted: ${JSON.stringify(published)}`)
    await Promise.all(this.hosts.map(({ ready }) => waitReady(ready.listening.operatorUrl)))
  }

  #noteUrls ({ ready }) {
    for (const { name, url } of ready.listening) this.urls[name] = url
  }

  async #startProcess (name, main, text) {
    const file = await this.#write(`${name}.toml`, text)
    const program = { name, main, file, up: false, frozen: false, sinceMs: 0 }
    await this.#spawn(program)
    return program
  }

  async #spawn (program) {
    const { child, exited, ready } = await startProgram(program.name, program.main, ['--settings', program.file], { log: this.log })
    Object.assign(program, { child, exited, ready, up: true, frozen: false, sinceMs: performance.now() })
  }

  async #write (name, text) {
    const path = join(this.directory, name)
    await writeFile(path, text)
    return path
  }

  async kill (program, signal = 'SIGKILL') {
    program.up = false
    program.child.kill(signal)
    return program.exited
  }

  /** Restarts a process that has exited; an engine keeps its port. */
  async restart (program) {
    await this.#spawn(program)
  }

  freeze (program) {
    program.frozen = true
    program.child.kill('SIGSTOP')
  }

  thaw (program) {
    program.child.kill('SIGCONT')
    program.frozen = false
    program.sinceMs = performance.now()
  }

  /** Publishes the tables of an edit with the command line; returns its JSON report. */
  async publish (edit) {
    const files = [await this.#write('routes.toml', routesTable(edit)), await this.#write('pools.toml', poolsTable(this.urls, this.engines, edit))]
    const child = spawn(process.execPath, [programs.cli, 'publish', ...files, '--settings', this.cliFile, '--json'], { stdio: ['ignore', 'pipe', 'inherit'] })
    let text = ''
    child.stdout.on('data', (chunk) => { text += chunk })
    await new Promise((resolve) => child.once('close', resolve))
    return JSON.parse(text)
  }

  /** Stops every process of the run, hosts first; kills those that do not exit within the timeout. */
  async stop () {
    for (const group of [this.hosts, [...this.engines, ...(this.platform === undefined ? [] : [this.platform])]]) {
      await Promise.all(group.map((program) => stopProcess(program)))
    }
    await rm(this.directory, { recursive: true })
  }
}

const STOP_TIMEOUT_MS = 15_000

async function stopProcess ({ child, exited }) {
  child.kill('SIGCONT')
  child.kill('SIGTERM')
  const timer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS)
  await exited
  clearTimeout(timer)
}
