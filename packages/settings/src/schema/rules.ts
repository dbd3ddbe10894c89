import { z } from 'zod'
import type { KeyPath } from '../toml/issue.js'
import type { PathIssue } from '../toml/messages.js'

/** Whether the value at a path has no fault so far; a missing key that is required counts as a fault. */
export type IsSound = (path: KeyPath) => boolean

/**
 * A check between keys that also runs when single keys have faults, so that all faults are reported at once.
 * It must ask `isSound` for each path that it reads before it relies on the value's type.
 */
export function crossCheck<T> (inspect: (value: T, isSound: IsSound) => PathIssue[]): z.core.$ZodCheck<T> {
  const check: z.core.$ZodCheck<T> = new z.core.$ZodCheck({ check: 'custom', when: () => true })
  check._zod.check = (payload) => {
    const isSound = (path: KeyPath): boolean => !payload.issues.some((issue) => concerns(issue, path))
    const found = inspect(payload.value, isSound)
    for (const { path, message } of found) {
      payload.issues.push({ code: 'custom', path: [...path], message, input: payload.value, inst: check, continue: true })
    }
  }
  return check
}

function concerns (issue: z.core.$ZodRawIssue, path: KeyPath): boolean {
  if (issue.code === 'unrecognized_keys') return false
  const parts = issue.path ?? []
  return parts.length <= path.length && parts.every((part, index) => part === path[index])
}
