/** Says which system packages own files, by Debian's package database. */
import { spawnSync } from 'node:child_process'
import { realpathSync } from 'node:fs'
import { dirname } from 'node:path'

/** Written by the machine's set-up, not by a package: the cache of libraries, certificates, settings of npm and of names. */
const MACHINE_FILES = /^\/(etc|usr\/etc)\//
const MAX_OUTPUT_BYTES = 64 * 1024 * 1024

/** Paths of one directory may be listed by a package without the leading /usr. */
const alternatives = (path) => [path, path.replace(/^\/usr\//, '/'), path.replace(/^\/(bin|sbin|lib|lib64)\//, '/usr/$1/')]

const ancestors = (path) => path === '/' ? [] : [path, ...ancestors(dirname(path))]

function dpkg (...args) {
  return spawnSync('dpkg', args, { encoding: 'utf8', maxBuffer: MAX_OUTPUT_BYTES }).stdout
}

/** Packages by path, for all paths that any package lists. */
function queryOwners (paths) {
  const lines = dpkg('-S', ...new Set(paths)).split('\n').filter((line) => !line.startsWith('diversion by '))
  return new Map(lines.flatMap((line) => {
    const match = /^(.+?): (\/.+)$/.exec(line)
    return match === null ? [] : [[match[2], match[1].split(', ').map((owner) => owner.replace(/:.*$/, ''))]]
  }))
}

/**
 * Paths by the package that owns them; files of no package stand under undefined. A file without an owner belongs to the one
 * package that owns the nearest directory above it, since npm replaces files of its own directory when it is updated.
 */
export function groupByOwner (paths) {
  const candidates = (path) => [path, safeRealpath(path)].flatMap(ancestors).flatMap(alternatives)
  const listed = queryOwners(paths.flatMap(candidates))
  const groups = new Map()
  for (const path of paths) {
    const owner = findOwner(path, listed)
    if (owner === undefined && MACHINE_FILES.test(path)) continue
    groups.set(owner, [...groups.get(owner) ?? [], path])
  }
  return groups
}

function findOwner (path, listed) {
  const real = safeRealpath(path)
  const ownersOf = (place) => alternatives(place).flatMap((candidate) => listed.get(candidate) ?? [])
  const exact = [path, real].flatMap(ownersOf)
  if (exact.length > 0) return exact[0]
  const above = ancestors(dirname(real)).map(ownersOf).find((owners) => owners.length > 0) ?? []
  return new Set(above).size === 1 ? above[0] : undefined
}

/** Programs on the usual search path that a package brings, its links included. */
export function listPrograms (name) {
  return dpkg('-L', name).split('\n').filter((path) => /^\/(usr\/)?s?bin\/[^/]+$/.test(path))
}

function safeRealpath (path) {
  try {
    return realpathSync(path)
  } catch (error) {
    if (error.code !== 'ENOENT') throw error
    return path // removed since it was opened
  }
}
