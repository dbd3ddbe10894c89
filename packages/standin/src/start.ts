import type { App } from 'h3'
import type { Clock } from '@figloom/runtime'
import { standinsSchema, type StandinConfig, type StandinsInput } from './config.js'
import { createEngineApp } from './engine/engine-app.js'
import { EngineCore } from './engine/engine-core.js'
import type { EngineConfig } from './engine/types.js'
import { createHostsApp } from './hosts/hosts-app.js'
import { MemoryHostList } from './hosts/memory-host-list.js'
import { listen } from './http/server.js'
import { createLogApp } from './log/log-app.js'
import { MemoryLog } from './log/memory-log.js'
import { createServiceApp } from './service/service-app.js'
import { ServiceCore } from './service/service-core.js'
import { createStoreApp } from './store/store-app.js'
import { WeightStore, type WeightStoreConfig } from './store/weight-store.js'

/** A stand-in without its HTTP layer; gives tests access to faults and statistics. */
export type StandinCore =
  | { kind: 'log', log: MemoryLog }
  | { kind: 'hosts', hosts: MemoryHostList }
  | { kind: 'engine', engine: EngineCore }
  | { kind: 'service', service: ServiceCore }
  | { kind: 'store', store: WeightStore }

/** A stand-in that accepts connections. */
export type RunningStandin = { name: string, url: string, core: StandinCore, close: () => Promise<void> }

/** The stand-ins of one process. */
export type RunningStandins = {
  standins: RunningStandin[]
  store: WeightStore
  /** Returns the base URL of a stand-in; throws if none has that name. */
  urlOf: (name: string) => string
  close: () => Promise<void>
}

/** Starts stand-ins on loopback. Rejects if the settings are invalid or a port is in use, and stops those that had started. */
export async function startStandins (input: StandinsInput, clock: Clock): Promise<RunningStandins> {
  const config = standinsSchema.parse(input)
  const store = WeightStore.create({ clock, config: omitUndefined(config.store ?? {}) as Partial<WeightStoreConfig> })
  const results = await Promise.allSettled(config.standin.map((standin) => start(standin, clock, store)))
  const standins = results.flatMap((result) => result.status === 'fulfilled' ? [result.value] : [])
  const close = async () => { await Promise.all(standins.map((standin) => standin.close())) }
  const failed = results.find((result) => result.status === 'rejected')
  if (failed !== undefined) {
    await close()
    throw failed.reason
  }
  return { standins, store, urlOf: (name) => findByName(standins, name).url, close }
}

async function start (config: StandinConfig, clock: Clock, store: WeightStore): Promise<RunningStandin> {
  const core = createCore(config, clock, store)
  const { url, close } = await listen(createStandinApp(core, clock), config.host, config.port)
  return { name: config.name, url, core, close }
}

function createCore (config: StandinConfig, clock: Clock, store: WeightStore): StandinCore {
  if (config.kind === 'log') return { kind: 'log', log: createLog(config, clock) }
  if (config.kind === 'hosts') {
    return { kind: 'hosts', hosts: MemoryHostList.create({ clock, hosts: config.entries ?? [], lagMs: config.lagMs ?? 0 }) }
  }
  if (config.kind === 'engine') return { kind: 'engine', engine: createEngine(config, clock, store) }
  if (config.kind === 'store') return { kind: 'store', store }
  const service = ServiceCore.create({ clock, service: config.name })
  service.faults.delayMs = config.delayMs ?? 0
  return { kind: 'service', service }
}

function createLog (config: Extract<StandinConfig, { kind: 'log' }>, clock: Clock): MemoryLog {
  const log = MemoryLog.create({ clock, retentionMs: config.retentionMs ?? Infinity })
  log.faults.appendsPerSecond = config.appendsPerSecond ?? 0
  return log
}

function createEngine (config: Extract<StandinConfig, { kind: 'engine' }>, clock: Clock, store: WeightStore): EngineCore {
  const { kind, name, host, port, ...fields } = config
  return EngineCore.create({ clock, store, config: { runner: name, ...omitUndefined(fields) as Partial<EngineConfig> } })
}

function createStandinApp (core: StandinCore, clock: Clock): App {
  switch (core.kind) {
    case 'log': return createLogApp(core.log)
    case 'hosts': return createHostsApp(core.hosts)
    case 'engine': return createEngineApp(core.engine, clock)
    case 'service': return createServiceApp(core.service)
    case 'store': return createStoreApp(core.store)
  }
}

function findByName (standins: RunningStandin[], name: string): RunningStandin {
  const standin = standins.find((candidate) => candidate.name === name)
  if (standin === undefined) throw new Error(`no stand-in named ${name}`)
  return standin
}

/** Omits undefined fields, so that they don't override defaults. */
function omitUndefined (fields: object): object {
  return Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined))
}
