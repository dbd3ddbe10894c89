/** Measures the control cost of an idle cell, for the lease holder and for a follower, by number of runners. */
import { CellHolder, cellConfigOf, cellStreamOf, Planner, type CellView } from '@figloom/control'
import { ManualClock, SequentialIdSource, silentLogger, type Clock } from '@figloom/runtime'
import { MemoryEngines, MemoryLog } from '@figloom/standin'
import type { CellStep } from '@figloom/tables'
import { fitLine, type Fit } from '../fit.js'
import { createTables } from '../fixtures.js'
import { measureCpuMs } from '../probe.js'

export type CellSlopes = {
  /** Processor time per second while the cell is idle, in microseconds. */
  holderUsPerS: Fit
  followerUsPerS: Fit
  reportBytesPerS: Fit
  recordsPerS: number
  logBytesPerS: Fit
}

const RUNNERS = [1, 4, 16, 64]
const SETTLE_MS = 20_000
const IDLE_MS = 240_000

class EmptyPlanner extends Planner {
  static create (): EmptyPlanner {
    return new EmptyPlanner()
  }

  override plan (_view: CellView): CellStep[] {
    return []
  }
}

export async function measureCell (): Promise<CellSlopes> {
  const rows: Awaited<ReturnType<typeof measureOne>>[] = []
  for (const runners of RUNNERS) rows.push(await measureOne(runners))
  const line = (pick: (row: (typeof rows)[number]) => number) => fitLine(rows.map((row) => ({ size: row.runners, cost: pick(row) })))
  return {
    holderUsPerS: line(({ oneHostUs }) => oneHostUs),
    followerUsPerS: line(({ oneHostUs, threeHostsUs }) => (threeHostsUs - oneHostUs) / 2),
    reportBytesPerS: line(({ reportBytesPerS }) => reportBytesPerS),
    recordsPerS: rows.reduce((sum, { recordsPerS }) => sum + recordsPerS, 0) / rows.length,
    logBytesPerS: line(({ logBytesPerS }) => logBytesPerS)
  }
}

async function measureOne (runners: number) {
  const oneHost = await measureIdle(runners, 1)
  const threeHosts = await measureIdle(runners, 3)
  return { runners, oneHostUs: oneHost.usPerS, threeHostsUs: threeHosts.usPerS, reportBytesPerS: oneHost.reportBytesPerS, recordsPerS: oneHost.recordsPerS, logBytesPerS: oneHost.logBytesPerS }
}

async function measureIdle (runners: number, hosts: number) {
  const clock = ManualClock.create()
  const log = MemoryLog.create({ clock })
  const engines = MemoryEngines.create({ clock })
  const tables = createTables(runners, runners)
  const pool = tables.pools[0]
  if (pool === undefined) throw new Error('the tables have no pool')
  for (const runner of pool.runners) engines.add(runner.url, { config: { runner: runner.name, memoryMiB: runner.memoryMiB } })
  const reports = countReportCalls(engines)
  const holders = startHolders(hosts, { clock, log, engines, pool: pool.name, tables })
  await clock.advance(SETTLE_MS)
  reports.count = 0
  const before = await readRecords(log, pool.name)
  const cpuMs = await measureCpuMs(() => clock.advance(IDLE_MS))
  const after = (await readRecords(log, pool.name)).slice(before.length)
  for (const holder of holders) holder.stop()
  const seconds = IDLE_MS / 1000
  const [sample] = [...engines.engines.values()]
  const reportBytes = JSON.stringify(await sample?.report()).length
  return {
    usPerS: cpuMs * 1000 / seconds,
    reportBytesPerS: reports.count * reportBytes / seconds,
    recordsPerS: after.length / seconds,
    logBytesPerS: JSON.stringify(after).length / seconds
  }
}

function startHolders (hosts: number, options: { clock: Clock, log: MemoryLog, engines: MemoryEngines, pool: string, tables: ReturnType<typeof createTables> }): CellHolder[] {
  const { clock, log, engines, pool, tables } = options
  const names = Array.from({ length: hosts }, (_, index) => `host-${index}`)
  const limits = { loadStartsPerSecond: 2, concurrentLoads: 24, concurrentAdapters: 190 }
  return names.map((host) => {
    const holder = CellHolder.create({
      cell: pool, self: { host, incarnation: `${host}-1` }, log, engines, clock, ids: SequentialIdSource.create(host), logger: silentLogger, planner: EmptyPlanner.create(), standbyLimit: 0
    })
    holder.post({ type: 'config', config: cellConfigOf(tables, pool, limits, 0) })
    holder.post({ type: 'hosts', hosts: names })
    holder.start()
    return holder
  })
}

function countReportCalls (engines: MemoryEngines): { count: number } {
  const counter = { count: 0 }
  const report = engines.report.bind(engines)
  engines.report = (url, signal) => {
    counter.count += 1
    return report(url, signal)
  }
  return counter
}

async function readRecords (log: MemoryLog, pool: string) {
  return (await log.read(cellStreamOf(pool), { from: 1, limit: 1_000_000 }))._unsafeUnwrap().records
}
