import { getRequestHeader, readRawBody, setResponseHeader, setResponseStatus, type H3Event } from 'h3'
import type { z } from 'zod'

const MALFORMED_STATUS = 400

/** Reads a JSON body; undefined if it is none. */
export async function readJson (event: H3Event): Promise<unknown> {
  const text = await readRawBody(event) ?? ''
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Reads a JSON body of a given form; answers 400 and returns undefined for any other. */
export async function readChecked<T> (event: H3Event, schema: z.ZodType<T>): Promise<T | undefined> {
  const parsed = schema.safeParse(await readJson(event))
  if (parsed.success) return parsed.data
  sendJson(event, MALFORMED_STATUS, { error: 'malformed', issues: parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`) })
  return undefined
}

/** Answers with JSON. */
export function sendJson (event: H3Event, status: number, body: unknown): void {
  setResponseStatus(event, status)
  setResponseHeader(event, 'content-type', 'application/json')
  event.node.res.end(JSON.stringify(body))
}

/** Resets the connection, so that the caller gets no answer. */
export function resetConnection (event: H3Event): void {
  event._handled = true
  event.node.req.socket?.resetAndDestroy()
}

/** A request header, undefined if it is absent or empty. */
export function headerOf (event: H3Event, name: string): string | undefined {
  return getRequestHeader(event, name) || undefined
}
