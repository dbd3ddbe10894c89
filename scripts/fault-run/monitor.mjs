/** Reads engines, hosts and stand-ins during a run and counts what breaks a promise. */
import { getJson, getStatus, sleep } from './http.mjs'
import { ROUTED_MODELS, versionOf } from './tables.mjs'

const ENGINE_POLL_MS = 250
const STATUS_POLL_MS = 150
/** A sample may miss a copy for this long, for the time between two reports. */
const SAMPLE_GAP_MS = 1000
const IN_FORCE_MS = 11_000
const LEAVING_MS = 5000

export class Watch {
  /** Runs of each attempt at all engine processes, also those that were killed. */
  runs = new Map()
  /** Engine listed as leaving: `{ name, sinceMs }`. */
  leaving
  statuses = new Map()
  #overcommits = new Map()
  #lastResidentMs = new Map()
  #startedWhenLeft
  #editInForce = 1
  #routedVersions = new Map()
  #formerVersions = new Map()
  #versions = new Map()
  #accepted = []
  #stopped = false

  constructor (cluster, record) {
    Object.assign(this, { cluster, record })
  }

  start () {
    this.loops = [this.#loop(() => this.#readEngines(), ENGINE_POLL_MS), ...this.cluster.hosts.map((host) => this.#loop(() => this.#readHost(host), STATUS_POLL_MS))]
  }

  async stop () {
    this.#stopped = true
    await Promise.all(this.loops)
  }

  async #loop (read, pauseMs) {
    while (!this.#stopped) {
      await read()
      await sleep(pauseMs)
    }
  }

  /** Takes an engine's figures; also called right before it is killed. */
  async readStats (engine) {
    const stats = await getJson(`${this.cluster.urls[engine.name]}/stats`, 500).catch(() => undefined)
    if (stats === undefined) return undefined
    for (const [id, runs] of Object.entries(stats.runs)) this.runs.set(id, Math.max(runs, this.runs.get(id) ?? 0))
    const process = engine.child.pid
    const seen = this.#overcommits.get(process) ?? 0
    if (stats.overcommitCount > seen) this.record.break(1, { engine: engine.name, checksFencing: engine.checksFencing, peakUsedMiB: stats.peakUsedMiB, more: stats.overcommitCount - seen })
    this.#overcommits.set(process, Math.max(seen, stats.overcommitCount))
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
      const version = versionOf(model, this.#editInForce)
      if (this.#routedVersions.get(model) !== version) {
        this.#formerVersions.set(model, this.#routedVersions.get(model))
        this.#routedVersions.set(model, version)
      }
      // The version routed before may serve until the new one does.
      const versions = [version, this.#formerVersions.get(model)]
      const resident = reports.some(({ copies }) => copies.some((copy) => copy.model === model && versions.includes(copy.version) && copy.state === 'resident'))
      const last = this.#lastResidentMs.get(model)
      if (resident) {
        if (last?.broken) this.record.unreachableMs[model] = Math.max(this.record.unreachableMs[model] ?? 0, Math.round(nowMs - last.atMs))
        this.#lastResidentMs.set(model, { atMs: nowMs })
      } else if (last !== undefined && !last.broken && nowMs - last.atMs > SAMPLE_GAP_MS) {
        last.broken = true
        this.record.break(2, { model, version, copies: reports.map(({ runner, copies }) => [runner, ...copies.map((copy) => `${copy.model}@${copy.version} ${copy.state}`)]) })
      }
    }
  }

  #checkLeaving ({ name }, { started }) {
    if (this.leaving?.name !== name) return
    if (performance.now() - this.leaving.sinceMs < LEAVING_MS) return
    this.#startedWhenLeft ??= started
    if (started > this.#startedWhenLeft) this.record.break(6, { engine: name, started: started - this.#startedWhenLeft })
    this.#startedWhenLeft = started
  }

  setLeaving (name) {
    this.leaving = name === undefined ? undefined : { name, sinceMs: performance.now() }
    this.#startedWhenLeft = undefined
  }

  /** Notes an accepted version, to be in force everywhere within 11 s. */
  accepted (version, edit) {
    this.#accepted.push({ version, edit, atMs: performance.now(), seen: new Set(), late: new Set() })
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
    const highest = this.#versions.get(host.name) ?? 0
    if (status.ready && version < highest) this.record.break(8, { host: host.name, version, before: highest })
    if (status.ready) this.#versions.set(host.name, Math.max(highest, version))
    this.#checkInForce(host, version)
  }

  #checkInForce (host, version) {
    const nowMs = performance.now()
    for (const accepted of this.#accepted) {
      if (accepted.seen.has(host.name) || accepted.late.has(host.name)) continue
      const waitedMs = nowMs - Math.max(accepted.atMs, host.sinceMs)
      if (version >= accepted.version) {
        accepted.seen.add(host.name)
        this.#editInForce = Math.max(this.#editInForce, accepted.edit)
        const times = this.record.inForceMs[host.name] ??= []
        if (host.sinceMs < accepted.atMs) times.push(waitedMs)
      } else if (waitedMs > IN_FORCE_MS && host.up && !host.frozen) {
        accepted.late.add(host.name)
        this.record.break(8, { host: host.name, accepted: accepted.version, version, waitedMs: Math.round(waitedMs) })
      }
    }
  }

  /** Host that holds a cell, as the hosts say that can be asked. */
  holderOf (cell, except) {
    for (const [host, status] of this.statuses) {
      const holder = (status.cells ?? []).find((one) => one.cell === cell)?.holder ?? ''
      if (host !== except && holder !== '' && holder !== except) return holder
    }
    return undefined
  }
}
