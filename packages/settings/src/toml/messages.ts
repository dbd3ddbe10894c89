import type { z } from 'zod'
import { unitOf, unitSuffixOf } from '../schema/units.js'
import type { KeyPath } from './issue.js'

/** A fault of the schema at a path, before its place in the file is known. */
export type PathIssue = { path: KeyPath, message: string }

/** Turns an issue of zod into messages for people: one for each unknown key, else one. */
export function explainIssue (issue: z.core.$ZodIssue, root: unknown): PathIssue[] {
  const path = issue.path as KeyPath
  if (issue.code === 'unrecognized_keys') return issue.keys.map((key) => ({ path: [...path, key], message: `unknown key${suggest(key)}` }))
  if (issue.code !== 'invalid_type') return [{ path, message: issue.message }]
  const value = valueAt(root, path)
  if (value === undefined) return [{ path, message: 'missing key' }]
  return [{ path, message: `expected ${issue.expected}${unitNote(path)}, got ${describeValue(value)}` }]
}

function suggest (key: string): string {
  const suffix = unitSuffixOf(key)
  return suffix === undefined ? '' : ` (a quantity in ${unitOf(key)}; check its name and unit)`
}

function unitNote (path: KeyPath): string {
  const last = path.findLast((part) => typeof part === 'string')
  const unit = last === undefined ? undefined : unitOf(String(last))
  return unit === undefined ? '' : ` of ${unit}`
}

function describeValue (value: unknown): string {
  if (Array.isArray(value)) return 'an array'
  if (value instanceof Date) return 'a date'
  if (typeof value === 'object') return 'a table'
  return `${typeof value} ${JSON.stringify(value)}`
}

function valueAt (root: unknown, path: KeyPath): unknown {
  return path.reduce<unknown>((value, part) => {
    if (typeof value !== 'object' || value === null || !Object.hasOwn(value, part)) return undefined
    return (value as Record<string | number, unknown>)[part]
  }, root)
}
