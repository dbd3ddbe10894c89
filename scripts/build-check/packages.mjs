/** Says which system packages own files, by Debian's package database. */
import { spawnSync } from 'node:child_process'
import { realpathSync } from 'node:fs'

/** Written by the machine's set-up, not by a package: the cache of libraries, certificates, settings of npm and of names. */
const MACHINE_FILES = /^\/(etc|usr\/etc)\//

/** Paths of one directory may be listed by a package without the leading /usr. */
const alternatives = (path) => [path, path.replace(/^\/usr\//, '/'), path.replace(/^\/(bin|sbin|lib|lib64)\//, '/usr/$1/')]

function dpkg (...args) {
  return spawnSync('dpkg', args, { encoding: 'utf8' }).stdout
}

/** Package that owns a path, with links resolved; undefined where none does. */
export function findOwner (path) {
  for (const candidate of new Set([path, safeRealpath(path)].flatMap(alternatives))) {
    const owner = /^([^:,\s]+)[:,]/.exec(dpkg('-S', candidate))?.[1]
    if (owner !== undefined) return owner
  }
}

/** True for files that the machine's set-up writes and that belong to no package. */
export function isMachineFile (path) {
  return MACHINE_FILES.test(path)
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
