/** The answer to a request on a route that needs a key, which shows none that a customer holds. */
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'

/** A host in contact with the platform reads a newer configuration within this time, and another host may have it already. */
const STALE_RETRY_MS = 500

/**
 * A host that may have missed a newer configuration doesn't deny what that may allow: its caller is asked to return.
 * @param isConfigFresh whether a newer configuration would be known
 */
export function createKeyRefusal (hasKey: boolean, isConfigFresh: boolean): Failure {
  if (!isConfigFresh) {
    return createFailure(ResultCode.KeyNotKnownYet, 'no customer of this configuration holds the key, and a newer one may exist', { retryAfterMs: STALE_RETRY_MS })
  }
  return createFailure(ResultCode.UnknownKey, hasKey ? 'no customer holds the key of the request' : 'the route needs a key, and the request shows none')
}
