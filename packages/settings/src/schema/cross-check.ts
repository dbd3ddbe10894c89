import { z } from 'zod'
import type { KeyPath } from '../toml/issue.js'
import type { PathIssue } from '../toml/messages.js'

/** Whether the value at a path has no issue so far; a missing required key counts as an issue. */
export type IsValid = (path: KeyPath) => boolean

/**
 * Creates a check of constraints between keys that also runs if single keys are invalid, so that all issues are
 * reported at once. `inspect` must call `isValid` for a path before it relies on the type of the value there.
 */
export function crossCheck<T> (inspect: (value: T, isValid: IsValid) => PathIssue[]): z.core.$ZodCheck<T> {
  const check: z.core.$ZodCheck<T> = new z.core.$ZodCheck({ check: 'custom', when: () => true })
  check._zod.check = (payload) => {
    const isValid = (path: KeyPath): boolean => !payload.issues.some((issue) => isAtOrAbove(issue, path))
    const found = inspect(payload.value, isValid)
    for (const { path, message } of found) {
      payload.issues.push({ code: 'custom', path: [...path], message, input: payload.value, inst: check, continue: true })
    }
  }
  return check
}

function isAtOrAbove (issue: z.core.$ZodRawIssue, path: KeyPath): boolean {
  if (issue.code === 'unrecognized_keys') return false
  const parts = issue.path ?? []
  return parts.length <= path.length && parts.every((part, index) => part === path[index])
}
