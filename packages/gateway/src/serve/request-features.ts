/** Features by which a request is recognized when it ends its runner. Pure functions. */
import { createHash } from 'node:crypto'
import { isRequestKey, requestKeyOf, type RequestContent } from '../crashes/request-key.js'
import type { CallerFacts } from '../forward/types.js'

/** Ids of parts are kept, stored and exchanged; longer ones are replaced by their digest. */
const MAX_PART_ID_CHARS = 64

/** The parts of its prompt that other requests may share, in order, and the key of its content. */
export function featureIdsOf (content: RequestContent, facts: CallerFacts): string[] {
  return [...sharedPartIds(facts), requestKeyOf(content)]
}

/** The last part belongs to the request or its session. */
function sharedPartIds ({ promptParts }: CallerFacts): string[] {
  return promptParts.slice(0, -1).map(({ id }) => id.length > MAX_PART_ID_CHARS || isRequestKey(id) ? digestOf(id) : id)
}

function digestOf (id: string): string {
  return createHash('sha256').update(id).digest('hex')
}
