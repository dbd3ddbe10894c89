import type { KeyClaims } from '@figloom/control'
import { createPrefixHasher } from '@figloom/routing'
import type { HostDirectory } from '../config/host-directory.js'
import { PeerForwarder } from '../peers/forward.js'
import type { RequestMetrics } from '../requests/metrics.js'
import { RequestService } from '../requests/request-service.js'
import type { DaemonContext } from './types.js'

const MAX_ANSWER_BYTES = 64 * 1024 * 1024

export type RequestDependencies = { directory: HostDirectory, keys: KeyClaims, metrics: RequestMetrics, isClosed: () => boolean }

/** Creates the service that serves requests, with everything it depends on. */
export async function createRequests (context: DaemonContext, { directory, keys, metrics, isClosed }: RequestDependencies): Promise<RequestService> {
  const { settings, clients, clock, logger } = context
  const { defaultDeadlineMs } = settings.admission
  return RequestService.create({
    directory,
    forwarder: PeerForwarder.create({ clients: clients.inner, directory, clock, logger, metrics, defaultDeadlineMs }),
    metrics,
    isClosed,
    maxInFlight: settings.limits.maxInFlight,
    generation: {
      clock,
      logger,
      backends: clients.backends,
      hasher: await createPrefixHasher(),
      metrics,
      defaultDeadlineMs,
      maxAnswerBytes: MAX_ANSWER_BYTES,
      cancelAttempt: (url, attemptId) => { clients.engines.cancel(url, attemptId).unwrapOr(undefined) }
    },
    service: { clock, backends: clients.backends, metrics, claim: (call) => keys.claim(call), maxAnswerBytes: MAX_ANSWER_BYTES }
  })
}
