import { z } from 'zod'
import type { Ending } from './types.js'

const errorSchema = z.object({
  error: z.object({ code: z.number(), type: z.string(), ran: z.enum(['no', 'unknown']) })
})

/** Reads an error that figloom generated; an answer with any other body is a failure. */
export function readErrorBody (status: number, text: string): Ending {
  const parsed = errorSchema.safeParse(parseJson(text))
  if (!parsed.success) return { kind: 'failed', reason: `status ${status}` }
  return { kind: 'refused', status, ...parsed.data.error }
}

/** Parses a text as JSON; undefined if it isn't valid. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
