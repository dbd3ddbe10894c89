/** Finds duplicate names in one file, also if other keys of the file have errors. */
import type { IsValid, KeyPath, PathIssue } from '@figloom/settings'
import { normalizeUrl } from '../check/check.js'
import type { TablesFile } from '../schema/rows.js'

type NamedEntry = { key: string, path: KeyPath, label: string }

/** Finds duplicate routes, pools, runners, models and adapters, and clashing addresses, of one file. */
export function findDuplicates (file: TablesFile, isValid: IsValid): PathIssue[] {
  const valid = (entries: NamedEntry[]): NamedEntry[] => entries.filter(({ path }) => isValid(path))
  const pools = tablesIn(file.pool, ['pool'])
  const runners = pools.flatMap(({ item, path }) => tablesIn(item.runner, [...path, 'runner']))
  const models = pools.map(({ item, path }) => tablesIn(item.model, [...path, 'model']))
  return [
    ...repeatedIssues(valid(nameEntries(tablesIn(file.route, ['route']), 'route'))),
    ...repeatedIssues(valid(nameEntries(pools, 'pool'))),
    ...repeatedIssues(valid(nameEntries(runners, 'runner'))),
    ...repeatedIssues(valid(runners.map(({ item, path }) =>
      ({ key: normalizeUrl(String(item.url)), path: [...path, 'url'], label: 'address' })))),
    ...models.flatMap((list) => repeatedIssues(valid(list.map(({ item, path }) =>
      ({ key: `${item.name} version ${item.version}`, path: [...path, 'name'], label: 'model' }))))),
    ...models.flat().flatMap(({ item, path }) => repeatedIssues(valid(nameEntries(tablesIn(item.adapters, [...path, 'adapters']), 'adapter'))))
  ]
}

/** Elements of a list that are TOML tables, with their paths. The input may have any type, since it may have failed validation. */
function tablesIn<T> (list: readonly T[], path: KeyPath): { item: T, path: KeyPath }[] {
  if (!Array.isArray(list)) return []
  return list
    .map((item: T, index) => ({ item, path: [...path, index] }))
    .filter(({ item }) => typeof item === 'object' && item !== null)
}

function nameEntries (list: readonly { item: { name: string }, path: KeyPath }[], label: string): NamedEntry[] {
  return list.map(({ item, path }) => ({ key: item.name, path: [...path, 'name'], label }))
}

function repeatedIssues (entries: readonly NamedEntry[]): PathIssue[] {
  const seen = new Set<string>()
  return entries.flatMap(({ key, path, label }) => {
    if (key === undefined || !seen.has(key)) {
      seen.add(key)
      return []
    }
    return [{ path, message: `duplicate ${label} ${key}` }]
  })
}
