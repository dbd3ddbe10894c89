/**
 * Recognizes a request that comes again under another id, on any host: by its method, path, query and body. Nothing on the wire
 * names a caller, so callers that send the same bytes share a key.
 */
import { createHash } from 'node:crypto'

const PREFIX = 'request-'
/** 96 bits: equal by chance is out of the question, and the key is short enough for logs, records and the command line. */
const DIGEST_CHARS = 24

export type RequestContent = { method: string, target: string, body: Buffer | undefined }

export function requestKeyOf ({ method, target, body }: RequestContent): string {
  const hash = createHash('sha256').update(`${method} ${target}\n`)
  if (body !== undefined) hash.update(body)
  return `${PREFIX}${hash.digest('hex').slice(0, DIGEST_CHARS)}`
}

/** Whether an id is that of a whole request rather than of a part of a prompt. */
export function isRequestKey (id: string): boolean {
  return id.startsWith(PREFIX)
}
