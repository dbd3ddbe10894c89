import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { spawn } from 'node:child_process'
import { startProgram, stopPrograms } from './children.mjs'
import { cliSettings, daemonSettings, poolsTable, routesTable, standinSettings, ZONES } from './settings.mjs'

const packages = fileURLToPath(new URL('../../packages/', import.meta.url))
/** Paths of the main modules of the programs. */
export const programs = {
  daemon: join(packages, 'daemon/dist/main.js'),
  standin: join(packages, 'standin/dist/main.js'),
  cli: join(packages, 'cli/dist/main.js')
}

/**
 * Starts stand-ins and entry hosts, publishes the tables and waits until every host is ready.
 * `hostCount` is at most three; `engineFields` and `sections` are additional lines for the settings of engines and hosts.
 */
export async function startCluster ({ log, hostCount = ZONES.length, engineCount = 2, engineFields = '', sections = '', betweenTokensTargetMs } = {}) {
  const zones = ZONES.slice(0, hostCount)
  const directory = await mkdtemp(join(tmpdir(), 'figloom-'))
  const write = async (name, text) => {
    const path = join(directory, name)
    await writeFile(path, text)
    return path
  }
  const running = []
  const stop = async () => {
    await stopPrograms(running.filter(({ name }) => name !== STANDINS))
    await stopPrograms(running.filter(({ name }) => name === STANDINS))
    await rm(directory, { recursive: true })
  }
  try {
    const standins = await startProgram(STANDINS, programs.standin, ['--settings', await write('standins.toml', standinSettings(engineCount, engineFields))], { log })
    running.push(standins)
    const urls = Object.fromEntries(standins.ready.listening.map(({ name, url }) => [name, url]))
    const settingsFiles = await Promise.all(zones.map((zone, index) => write(`host-${index + 1}.toml`, daemonSettings(`host-${index + 1}`, zone, urls, sections))))
    const daemons = await Promise.all(settingsFiles.map((file, index) => startProgram(`host-${index + 1}`, programs.daemon, ['--settings', file], { log })))
    running.push(...daemons)
    const tables = [await write('routes.toml', routesTable(betweenTokensTargetMs)), await write('pools.toml', poolsTable(urls, engineCount))]
    const hosts = daemons.map(({ ready }) => ready.listening)
    const cliFile = await write('figloom.toml', cliSettings(urls, hosts[0].operatorUrl))
    await runCli(['publish', ...tables, '--settings', cliFile])
    await Promise.all(hosts.map(({ operatorUrl }) => waitReady(operatorUrl)))
    return { hosts, urls, daemons, standins, cliFile, stop }
  } catch (error) {
    await stop()
    throw error
  }
}

/** Runs the command line `figloom`; rejects if it fails. */
export function runCli (args) {
  const child = spawn(process.execPath, [programs.cli, ...args], { stdio: ['ignore', 'inherit', 'inherit'] })
  return new Promise((resolve, reject) => {
    child.once('exit', (code) => code === 0 ? resolve() : reject(new Error(`figloom ${args[0]} exited with code ${code}`)))
  })
}

const STANDINS = 'standins'
const READY_POLL_MS = 100
const READY_ATTEMPTS = 300

/** Waits until a host reports that it is ready. */
export async function waitReady (operatorUrl) {
  for (let attempt = 0; attempt < READY_ATTEMPTS; attempt++) {
    const response = await fetch(`${operatorUrl}/readyz`).catch(() => undefined)
    if (response?.ok) return
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS))
  }
  throw new Error(`${operatorUrl} was not ready in time`)
}
