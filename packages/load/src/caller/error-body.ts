import { z } from 'zod'
import type { Ending } from './types.js'

const errorSchema = z.object({
  error: z.object({ code: z.number(), type: z.string(), ran: z.enum(['no', 'unknown']) })
})

/** Reads an error of figloom's own; any other body is a failure. */
export function readErrorBody (status: number, text: string): Ending {
  const parsed = errorSchema.safeParse(parseJson(text))
  if (!parsed.success) return { kind: 'failed', reason: `status ${status}` }
  return { kind: 'refused', status, ...parsed.data.error }
}

/** JSON value of a text; undefined if it is none. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
