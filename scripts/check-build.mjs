/**
 * Runs the build of deploy/system.toml as a new machine would: in a fresh clone, without the caller's environment, with
 * only the programs of the listed packages. Fails when the build fails or uses a system package that is not listed.
 * Needs git, dpkg and strace. Prints each package that the build uses, with one of its files.
 */
import { spawnSync } from 'node:child_process'
import { existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, symlinkSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { basename, join } from 'node:path'
import { getStaticTOMLValue, parseTOML } from 'toml-eslint-parser'
import { groupByOwner, listPrograms } from './build-check/packages.mjs'
import { readOpenedPaths } from './build-check/trace.mjs'

/** The users' limit for a build. */
const BUILD_LIMIT_MS = 15 * 60_000
const VIRTUAL_FILE_SYSTEMS = /^\/(proc|sys|dev)(\/|$)/

function runCommand (command, args, options = {}) {
  const result = spawnSync(command, args, { encoding: 'utf8', maxBuffer: 64 * 1024 * 1024, ...options })
  if (result.error) throw result.error
  return result
}

function readDeployFile () {
  const deploy = getStaticTOMLValue(parseTOML(readFileSync('deploy/system.toml', 'utf8')))
  return { build: deploy.build, packages: deploy.packages ?? [] }
}

/** Creates a directory of links to the programs of the listed packages; returns the path of the shell. */
function linkPrograms (directory, packages) {
  mkdirSync(directory)
  const programs = new Map(packages.flatMap(listPrograms).map((path) => [basename(path), path]))
  for (const [name, path] of programs) symlinkSync(path, join(directory, name))
  return programs.get('sh') ?? '/bin/sh'
}

function cloneInto (directory) {
  const cloned = runCommand('git', ['clone', '--quiet', '.', directory])
  if (cloned.status !== 0) throw new Error(`git clone failed: ${cloned.stderr}`)
}

/** strace is a tool of this check, not of the build, so it is looked up on the caller's PATH. */
function findTracer () {
  const path = runCommand('/bin/sh', ['-c', 'command -v strace']).stdout.trim()
  if (path === '') throw new Error('strace is not installed')
  return path
}

/** Runs the build; returns the paths outside the scratch directory that it opened, or undefined if it failed. */
function runBuild ({ build, shell, scratch, checkout }) {
  const trace = join(scratch, 'trace')
  const home = join(scratch, 'home')
  const traced = ['-f', '-qq', '-o', trace, '-e', 'trace=execve,open,openat,openat2', shell, '-c', build]
  const env = { PATH: join(scratch, 'bin'), HOME: home, LANG: 'C' }
  mkdirSync(home, { recursive: true })
  const result = runCommand(findTracer(), traced, { cwd: checkout, env, timeout: BUILD_LIMIT_MS })
  if (result.status !== 0) {
    console.log(`build failed with status ${result.status}\n${result.stdout}${result.stderr}`)
    return undefined
  }
  return readOpenedPaths(readFileSync(trace, 'utf8')).filter((path) => path !== '/' && !path.startsWith(scratch) && !VIRTUAL_FILE_SYSTEMS.test(path))
}

function reportOwners (owners, packages) {
  const unlisted = [...owners.keys()].filter((owner) => !packages.includes(owner))
  for (const [owner, paths] of owners) console.log(`build uses ${owner ?? 'no package'}: ${paths[0]} and ${paths.length - 1} more`)
  for (const name of packages.filter((name) => !owners.has(name))) console.log(`listed, not used by this build: ${name}`)
  for (const owner of unlisted) console.log(`NOT LISTED: ${owner ?? 'files of no package'}: ${owners.get(owner).slice(0, 5).join(' ')}`)
  return unlisted.length === 0
}

/** A build must not install packages that the lock file marks as development dependencies. */
function installsNoTestTools (checkout) {
  const { packages } = JSON.parse(readFileSync('package-lock.json', 'utf8'))
  const development = Object.keys(packages).filter((path) => packages[path].dev === true)
  const installed = development.filter((path) => existsSync(join(checkout, path)))
  if (installed.length > 0) console.log(`BUILD INSTALLS ${installed.length} PACKAGES OF THE TESTS: ${installed.slice(0, 5).join(', ')}`)
  return installed.length === 0
}

/** An interrupted install leaves a node_modules directory that is empty and newer than the lock file; the build has to work over it. */
function buildsOverInterruptedInstall (context) {
  const checkout = join(context.scratch, 'interrupted')
  cloneInto(checkout)
  mkdirSync(join(checkout, 'node_modules'))
  const passed = runBuild({ ...context, checkout }) !== undefined
  console.log(`build over an interrupted install: ${passed ? 'passes' : 'FAILS'}`)
  return passed
}

function main () {
  const { build, packages } = readDeployFile()
  const scratch = mkdtempSync(join(tmpdir(), 'figloom-build-'))
  try {
    const context = { build, scratch, checkout: join(scratch, 'checkout'), shell: linkPrograms(join(scratch, 'bin'), packages) }
    cloneInto(context.checkout)
    const opened = runBuild(context)
    if (opened === undefined) return 1
    const checks = [
      reportOwners(groupByOwner(opened), packages),
      installsNoTestTools(context.checkout),
      buildsOverInterruptedInstall(context)
    ]
    return checks.every(Boolean) ? 0 : 1
  } finally {
    rmSync(scratch, { recursive: true, force: true })
  }
}

process.exitCode = main()
