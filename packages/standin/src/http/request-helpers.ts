import { getRequestHeader, readRawBody, setResponseHeader, setResponseStatus, type H3Event } from 'h3'
import type { z } from 'zod'

const BAD_REQUEST_STATUS = 400

/** Reads a body as JSON; returns undefined if it isn't valid JSON. */
export async function readJson (event: H3Event): Promise<unknown> {
  const text = await readRawBody(event) ?? ''
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Reads a JSON body that matches a schema. If it doesn't match, answers with status 400 and returns undefined. */
export async function readValidatedJson<T> (event: H3Event, schema: z.ZodType<T>): Promise<T | undefined> {
  const parsed = schema.safeParse(await readJson(event))
  if (parsed.success) return parsed.data
  sendJson(event, BAD_REQUEST_STATUS, { error: 'malformed', issues: parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`) })
  return undefined
}

/** Ends the response with a JSON body. */
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

/** Returns a request header, or undefined if it is absent or empty. */
export function readHeader (event: H3Event, name: string): string | undefined {
  return getRequestHeader(event, name) || undefined
}
