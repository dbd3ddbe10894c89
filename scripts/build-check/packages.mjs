/** Finds the system packages that own files, from Debian's package database. */
import { spawnSync } from 'node:child_process'
import { realpathSync } from 'node:fs'
import { dirname } from 'node:path'

/** Files that the setup of the machine writes, not a package: library cache, certificates, settings of npm and of name resolution. */
const MACHINE_SETUP_FILES = /^\/(etc|usr\/etc)\//
const MAX_OUTPUT_BYTES = 64 * 1024 * 1024

/** A path and its variants with and without the leading /usr: the package database may list either. */
const alternativePaths = (path) => [path, path.replace(/^\/usr\//, '/'), path.replace(/^\/(bin|sbin|lib|lib64)\//, '/usr/$1/')]

const ancestors = (path) => path === '/' ? [] : [path, ...ancestors(dirname(path))]

function dpkg (...args) {
  return spawnSync('dpkg', args, { encoding: 'utf8', maxBuffer: MAX_OUTPUT_BYTES }).stdout
}

/** Maps each path that some package lists to its packages. */
function queryOwners (paths) {
  const lines = dpkg('-S', ...new Set(paths)).split('\n').filter((line) => !line.startsWith('diversion by '))
  return new Map(lines.flatMap((line) => {
    const match = /^(.+?): (\/.+)$/.exec(line)
    return match === null ? [] : [[match[2], match[1].split(', ').map((owner) => owner.replace(/:.*$/, ''))]]
  }))
}

/**
 * Groups paths by the package that owns them; files without a package are grouped under undefined. A file that no package
 * lists belongs to the package that owns its nearest listed directory, if there is just one: an update of npm replaces files
 * below its own directory.
 */
export function groupByOwner (paths) {
  const candidates = (path) => [path, safeRealpath(path)].flatMap(ancestors).flatMap(alternativePaths)
  const listed = queryOwners(paths.flatMap(candidates))
  const groups = new Map()
  for (const path of paths) {
    const owner = findOwner(path, listed)
    if (owner === undefined && MACHINE_SETUP_FILES.test(path)) continue
    groups.set(owner, [...groups.get(owner) ?? [], path])
  }
  return groups
}

function findOwner (path, listed) {
  const real = safeRealpath(path)
  const listOwners = (candidatePath) => alternativePaths(candidatePath).flatMap((candidate) => listed.get(candidate) ?? [])
  const fileOwners = [path, real].flatMap(listOwners)
  if (fileOwners.length > 0) return fileOwners[0]
  const directoryOwners = ancestors(dirname(real)).map(listOwners).find((owners) => owners.length > 0) ?? []
  return new Set(directoryOwners).size === 1 ? directoryOwners[0] : undefined
}

/** Programs, links included, that a package installs in the directories of the standard search path. */
export function listPrograms (name) {
  return dpkg('-L', name).split('\n').filter((path) => /^\/(usr\/)?s?bin\/[^/]+$/.test(path))
}

function safeRealpath (path) {
  try {
    return realpathSync(path)
  } catch (error) {
    if (error.code !== 'ENOENT') throw error
    return path // the file was removed after it was opened
  }
}
