/** Names that stand twice in one file; found also where other keys have faults. */
import type { IsSound, KeyPath, PathIssue } from '@figloom/settings'
import { normalizeUrl } from '../check/check.js'
import type { TablesFile } from '../schema/rows.js'

type Entry = { key: string, path: KeyPath, label: string }

/** Finds duplicate routes, pools, runners, models and adapters, and clashing addresses, of one file. */
export function findDuplicates (file: TablesFile, isSound: IsSound): PathIssue[] {
  const sound = (entries: Entry[]): Entry[] => entries.filter(({ path }) => isSound(path))
  const pools = listAt(file.pool, ['pool'])
  const runners = pools.flatMap(({ item, path }) => listAt(item.runner, [...path, 'runner']))
  const models = pools.map(({ item, path }) => listAt(item.model, [...path, 'model']))
  return [
    ...repeated(sound(names(listAt(file.route, ['route']), 'route'))),
    ...repeated(sound(names(pools, 'pool'))),
    ...repeated(sound(names(runners, 'runner'))),
    ...repeated(sound(runners.map(({ item, path }) =>
      ({ key: normalizeUrl(String(item.url)), path: [...path, 'url'], label: 'address' })))),
    ...models.flatMap((list) => repeated(sound(list.map(({ item, path }) =>
      ({ key: `${item.name} version ${item.version}`, path: [...path, 'name'], label: 'model' }))))),
    ...models.flat().flatMap(({ item, path }) => repeated(sound(names(listAt(item.adapters, [...path, 'adapters']), 'adapter'))))
  ]
}

/** Elements of a list that are tables, with their paths; the list may have any type. */
function listAt<T> (list: readonly T[], path: KeyPath): { item: T, path: KeyPath }[] {
  if (!Array.isArray(list)) return []
  return list
    .map((item: T, index) => ({ item, path: [...path, index] }))
    .filter(({ item }) => typeof item === 'object' && item !== null)
}

function names (list: readonly { item: { name: string }, path: KeyPath }[], label: string): Entry[] {
  return list.map(({ item, path }) => ({ key: item.name, path: [...path, 'name'], label }))
}

function repeated (entries: readonly Entry[]): PathIssue[] {
  const seen = new Set<string>()
  return entries.flatMap(({ key, path, label }) => {
    if (key === undefined || !seen.has(key)) {
      seen.add(key)
      return []
    }
    return [{ path, message: `duplicate ${label} ${key}` }]
  })
}
