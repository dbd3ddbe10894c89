/** Asks the quota of a request's customer whether the request may run. */
import type { ServerResponse } from 'node:http'
import { writeFailure } from './gateway-answer.js'
import type { AcceptedRequest, ServeContext } from './types.js'

/** Takes the request's tokens; false if it was refused. Requests that no quota counts don't come here. */
export async function admitByQuota (context: ServeContext, request: AcceptedRequest, response: ServerResponse): Promise<boolean> {
  const { customer, facts, route } = request
  if (customer?.quota === undefined) return true
  const admitted = await context.quotas.admit({ customer, quota: customer.quota, facts, route })
  if (admitted.isOk()) {
    request.quotaUse = admitted.value
    return true
  }
  // The quota logs the refusals of a customer together: they come by the hundred.
  context.metrics.requests.inc({ route: route.name, result: admitted.error.code.type })
  writeFailure(response, admitted.error, context.host.isLeaving())
  return false
}
