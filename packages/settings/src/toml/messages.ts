import type { z } from 'zod'
import { unitOf, unitSuffixOf } from '../schema/units.js'
import type { KeyPath } from './issue.js'

/** An issue at a path, before its position in the file is known. */
export type PathIssue = { path: KeyPath, message: string }

/** Converts a zod issue to issues with readable messages: one for each unknown key, otherwise a single one. */
export function toPathIssues (issue: z.core.$ZodIssue, root: unknown): PathIssue[] {
  const path = issue.path as KeyPath
  if (issue.code === 'unrecognized_keys') return issue.keys.map((key) => ({ path: [...path, key], message: `unknown key${unitHint(key)}` }))
  if (issue.code !== 'invalid_type') return [{ path, message: issue.message }]
  const value = valueAt(root, path)
  if (value === undefined) return [{ path, message: 'missing key' }]
  return [{ path, message: `expected ${issue.expected}${unitText(path)}, got ${describeValue(value)}` }]
}

function unitHint (key: string): string {
  const suffix = unitSuffixOf(key)
  return suffix === undefined ? '' : ` (a quantity in ${unitOf(key)}; check its name and unit)`
}

function unitText (path: KeyPath): string {
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
