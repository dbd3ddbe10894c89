/** Runs stand-ins for the platform's services, and entry hosts, in one process on free loopback ports. */
import { createLogger, RandomIdSource, silentLogger, SystemClock } from '@figloom/runtime'
import { daemonSettingsSchema, type DaemonSettings } from '@figloom/settings'
import { startStandins, type EngineCore, type MemoryLog, type RunningStandins, type ServiceCore } from '@figloom/standin'
import { diffTables, type Tables } from '@figloom/tables'
import type { Test } from 'tap'
import { Daemon, type DaemonAddresses } from '../app.js'
import { createTables, ENGINES, REGION, SERVICE, ZONES } from './tables.js'

export type RunningHost = DaemonAddresses & { name: string, daemon: Daemon }

export type TestCluster = {
  hosts: RunningHost[]
  standins: RunningStandins
  tables: Tables
  log: MemoryLog
  engines: EngineCore[]
  service: ServiceCore
  startHost: (name: string, zone: string) => Promise<RunningHost>
}

export type ClusterOptions = {
  hostCount?: number
  /** Settings sections that replace those of `createSettings`. */
  settings?: object
  verbose?: boolean
  /** If false, `startCluster` returns as soon as the model is resident on one engine. */
  waitForEveryEngine?: boolean
}

const MAX_CHECKS = 400
const POLL_MS = 25

/** Starts `hostCount` hosts with the test tables in force and the model resident; all stop when the test ends. */
export async function startCluster (t: Test, options: ClusterOptions = {}): Promise<TestCluster> {
  const clock = SystemClock.create()
  const standins = await startStandins({
    standin: [
      { kind: 'log', name: 'log' },
      { kind: 'hosts', name: 'hosts' },
      { kind: 'service', name: SERVICE },
      ...ENGINES.map((name) => ({ kind: 'engine' as const, name, memoryMiB: 65_536, loadMs: 50, tokenMs: 2, firstTokenMs: 5 }))
    ]
  }, clock)
  t.teardown(() => standins.close())
  const tables = createTables(standins.urlOf)
  const log = coreOf(standins, 'log', 'log').log
  await publish(log, { routes: [], pools: [] }, tables, 0)
  const startHost = async (name: string, zone: string) => {
    const settings = createSettings(name, zone, standins, options.settings ?? {})
    const logger = options.verbose === true ? createLogger({ program: 'figloomd', host: name }, clock, { level: 'debug' }) : silentLogger
    const daemon = Daemon.create({ settings, clock, ids: RandomIdSource.create(), logger, random: Math.random })
    const addresses = await daemon.start()
    t.teardown(() => daemon.stop())
    return { name, daemon, ...addresses }
  }
  const hosts = await Promise.all(ZONES.slice(0, options.hostCount ?? 1).map((zone, index) => startHost(`host-${index + 1}`, zone)))
  const engines = ENGINES.map((name) => coreOf(standins, name, 'engine').engine)
  await Promise.all(hosts.map(waitUntilServing))
  if (options.waitForEveryEngine !== false) await waitUntil(async () => (await Promise.all(engines.map(holdsModelAndAdapter))).every(Boolean), 'the model is resident on every engine')
  return {
    hosts,
    standins,
    tables,
    log,
    engines,
    service: coreOf(standins, SERVICE, 'service').service,
    startHost
  }
}

/** Publishes the difference between two versions of the tables as one edit; resolves with its offset. */
export async function publish (log: MemoryLog, from: Tables, to: Tables, baseOffset: number): Promise<number> {
  const editId = `edit-${baseOffset}`
  const record = { kind: 'edit', ruleVersion: 1, editId, author: 'test', baseOffset, changes: diffTables(from, to) }
  return (await log.append('config', editId, record))._unsafeUnwrap().offset
}

/** Number of attempts running on an engine. */
export function runningAt (engine: EngineCore): number {
  const { started, finished, canceled } = engine.stats()
  return started - finished - canceled
}

/** Body of a generation request. */
export function chat (content: string, fields: object = {}): string {
  return JSON.stringify({ model: 'tasting-notes', messages: [{ role: 'user', content }], ...fields })
}

/** Waits until a condition holds; throws if it does not within `MAX_CHECKS` checks. */
export async function waitUntil (condition: () => boolean | Promise<boolean>, description: string): Promise<void> {
  for (let tries = 0; tries < MAX_CHECKS; tries++) {
    if (await condition()) return
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  }
  throw new Error(`timed out waiting for: ${description}`)
}

async function waitUntilServing ({ callerUrl, operatorUrl }: RunningHost): Promise<void> {
  await waitUntil(async () => (await fetch(`${operatorUrl}/readyz`)).ok, 'the host is ready')
  await waitUntil(async () => {
    const answer = await fetch(`${callerUrl}/v1/chat/completions`, { method: 'POST', body: chat('warm up', { max_tokens: 1 }) })
    await answer.text()
    return answer.ok
  }, 'the model is resident')
}

async function holdsModelAndAdapter (engine: EngineCore): Promise<boolean> {
  const report = await engine.report()
  return report?.copies.some(({ state, adapters }) => state === 'resident' && adapters.some((adapter) => adapter.state === 'resident')) ?? false
}

function createSettings (name: string, zone: string, standins: RunningStandins, overrides: object): DaemonSettings {
  return daemonSettingsSchema.parse({
    host: { name, availabilityZone: zone, region: REGION, callerAddress: '127.0.0.1:0', operatorAddress: '127.0.0.1:0' },
    platform: { logUrl: standins.urlOf('log'), hostListUrl: standins.urlOf('hosts'), hostListPollMs: 100, announceToHostList: true },
    health: { reportPollMs: 100, peerExchangeMs: 100, peerTimeoutMs: 1000 },
    lookup: { ttlMs: 200 },
    traces: { exporter: 'none' },
    ...overrides
  })
}

function coreOf<Kind extends 'log' | 'engine' | 'service'> (standins: RunningStandins, name: string, kind: Kind) {
  const core = standins.standins.find((standin) => standin.name === name)?.core
  if (core?.kind !== kind) throw new Error(`${name} is not a stand-in of the kind ${kind}`)
  return core as Extract<typeof core, { kind: Kind }>
}
