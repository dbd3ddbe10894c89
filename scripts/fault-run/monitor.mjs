/** Polls engines and hosts during a run and records violations of the promises. */
import { getJson, getStatus, sleep } from './http.mjs'
import { ROUTED_MODELS, versionOf } from './tables.mjs'

const ENGINE_POLL_MS = 250
const STATUS_POLL_MS = 150
/** A copy may be missing from the samples for this long, which covers the time between two reports. */
const MAX_SAMPLE_GAP_MS = 1000
const IN_FORCE_LIMIT_MS = 11_000
const LEAVING_GRACE_MS = 5000

export class PromiseMonitor {
  /** Highest number of executions of each attempt that an engine process reported, including killed processes. */
  runs = new Map()
  /** Engine listed as leaving: `{ name, sinceMs }`. */
  leaving
  statuses = new Map()
  #overcommits = new Map()
  #lastResidentMs = new Map()
  #startedWhileLeaving
  #newestEditInForce = 1
  #routedVersions = new Map()
  #previousVersions = new Map()
  #highestVersions = new Map()
  #accepted = []
  #stopped = false

  constructor (cluster, record) {
    Object.assign(this, { cluster, record })
  }

  start () {
    this.loops = [this.#pollUntilStopped(() => this.#readEngines(), ENGINE_POLL_MS), ...this.cluster.hosts.map((host) => this.#pollUntilStopped(() => this.#readHost(host), STATUS_POLL_MS))]
  }

  async stop () {
    this.#stopped = true
    await Promise.all(this.loops)
  }

  async #pollUntilStopped (read, pauseMs) {
    while (!this.#stopped) {
      await read()
      await sleep(pauseMs)
    }
  }

  /** Reads an engine's statistics; also called right before the engine is killed, since they are lost with its process. */
  async readStats (engine) {
    const stats = await getJson(`${this.cluster.urls[engine.name]}/stats`, 500).catch(() => undefined)
    if (stats === undefined) return undefined
    for (const [id, runs] of Object.entries(stats.runs)) this.runs.set(id, Math.max(runs, this.runs.get(id) ?? 0))
    const pid = engine.child.pid
    const earlierCount = this.#overcommits.get(pid) ?? 0
    if (stats.overcommitCount > earlierCount) this.record.recordViolation(1, { engine: engine.name, checksFencing: engine.checksFencing, peakUsedMiB: stats.peakUsedMiB, more: stats.overcommitCount - earlierCount })
    this.#overcommits.set(pid, Math.max(earlierCount, stats.overcommitCount))
    return stats
  }

  async #readEngines () {
    const { engines } = this.cluster
    const reachable = engines.filter(({ up, frozen }) => up && !frozen)
    const reports = await Promise.all(reachable.map(async (engine) => {
      const [report, stats] = await Promise.all([getJson(`${this.cluster.urls[engine.name]}/report`, 500).catch(() => undefined), this.readStats(engine)])
      if (stats !== undefined) this.#checkLeaving(engine, stats)
      return report
    }))
    this.#checkResident(reports.filter((report) => report !== undefined))
  }

  #checkResident (reports) {
    const nowMs = performance.now()
    for (const model of ROUTED_MODELS) {
      const version = versionOf(model, this.#newestEditInForce)
      if (this.#routedVersions.get(model) !== version) {
        this.#previousVersions.set(model, this.#routedVersions.get(model))
        this.#routedVersions.set(model, version)
      }
      // The previously routed version may keep serving until the new one does.
      const versions = [version, this.#previousVersions.get(model)]
      const resident = reports.some(({ copies }) => copies.some((copy) => copy.model === model && versions.includes(copy.version) && copy.state === 'resident'))
      const lastResident = this.#lastResidentMs.get(model)
      if (resident) {
        if (lastResident?.broken) this.record.unreachableMs[model] = Math.max(this.record.unreachableMs[model] ?? 0, Math.round(nowMs - lastResident.atMs))
        this.#lastResidentMs.set(model, { atMs: nowMs })
      } else if (lastResident !== undefined && !lastResident.broken && nowMs - lastResident.atMs > MAX_SAMPLE_GAP_MS) {
        lastResident.broken = true
        this.record.recordViolation(2, { model, version, copies: reports.map(({ runner, copies }) => [runner, ...copies.map((copy) => `${copy.model}@${copy.version} ${copy.state}`)]) })
      }
    }
  }

  #checkLeaving ({ name }, { started }) {
    if (this.leaving?.name !== name) return
    if (performance.now() - this.leaving.sinceMs < LEAVING_GRACE_MS) return
    this.#startedWhileLeaving ??= started
    if (started > this.#startedWhileLeaving) this.record.recordViolation(6, { engine: name, started: started - this.#startedWhileLeaving })
    this.#startedWhileLeaving = started
  }

  setLeaving (name) {
    this.leaving = name === undefined ? undefined : { name, sinceMs: performance.now() }
    this.#startedWhileLeaving = undefined
  }

  /** Expects an accepted version to be in force at every host within 11 s. */
  expectInForce (version, edit) {
    this.#accepted.push({ version, edit, atMs: performance.now(), inForceAt: new Set(), late: new Set() })
  }

  async #readHost (host) {
    if (!host.up || host.frozen) return
    const { sinceMs } = host
    const status = await getStatus(host).catch(() => undefined)
    if (status === undefined || host.sinceMs !== sinceMs || !host.up) {
      this.statuses.delete(host.name)
      return this.#checkInForce(host, 0)
    }
    this.statuses.set(host.name, status)
    const version = Number(status.configVersion ?? 0)
    const highest = this.#highestVersions.get(host.name) ?? 0
    if (status.ready && version < highest) this.record.recordViolation(8, { host: host.name, version, before: highest })
    if (status.ready) this.#highestVersions.set(host.name, Math.max(highest, version))
    this.#checkInForce(host, version)
  }

  #checkInForce (host, version) {
    const nowMs = performance.now()
    for (const accepted of this.#accepted) {
      if (accepted.inForceAt.has(host.name) || accepted.late.has(host.name)) continue
      const waitedMs = nowMs - Math.max(accepted.atMs, host.sinceMs)
      if (version >= accepted.version) {
        accepted.inForceAt.add(host.name)
        this.#newestEditInForce = Math.max(this.#newestEditInForce, accepted.edit)
        const times = this.record.inForceMs[host.name] ??= []
        if (host.sinceMs < accepted.atMs) times.push(waitedMs)
      } else if (waitedMs > IN_FORCE_LIMIT_MS && host.up && !host.frozen) {
        accepted.late.add(host.name)
        this.record.recordViolation(8, { host: host.name, accepted: accepted.version, version, waitedMs: Math.round(waitedMs) })
      }
    }
  }

  /** Lease holder of a cell according to the last known statuses of the hosts; `except` is skipped. */
  holderOf (cell, except) {
    for (const [host, status] of this.statuses) {
      const holder = (status.cells ?? []).find((one) => one.cell === cell)?.holder ?? ''
      if (host !== except && holder !== '' && holder !== except) return holder
    }
    return undefined
  }
}
