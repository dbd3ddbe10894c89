/** Forwards a request to a host of its cell. */
import { ConnectError } from '@connectrpc/connect'
import { PROTOCOL_VERSION, type ForwardChunk } from '@figloom/protocol'
import {
  createFailure, Ran, ResultCode, SpanKind, startChildSpan, traceHeaders, type Clock, type Failure, type Logger
} from '@figloom/runtime'
import type { Route } from '@figloom/tables'
import type { CellPeer, Directory } from '../requests/directory.js'
import { ExecutionTracker } from '../requests/execution-tracker.js'
import { Forwarder } from '../requests/request-service.js'
import type { RequestMetrics } from '../requests/metrics.js'
import type { AnswerSink, CallerRequest, HeaderFields } from '../requests/types.js'
import type { InnerClients } from './inner-clients.js'

export type ForwarderOptions = {
  clients: InnerClients
  directory: Directory
  clock: Clock
  logger: Logger
  metrics: RequestMetrics
  /** Time for an answer if the caller sets no deadline, in milliseconds. */
  defaultDeadlineMs: number
}

/** Maximum number of hosts tried for one request. */
const MAX_HOSTS = 2
const RETRY_AFTER_MS = 1000

/** Forwards over the inner protocol; tries another host only if the request certainly did not run or may be retried. */
export class PeerForwarder extends Forwarder {
  private constructor (private readonly options: ForwarderOptions) {
    super()
  }

  static create (options: ForwarderOptions): PeerForwarder {
    return new PeerForwarder(options)
  }

  override async forward (request: CallerRequest, route: Route, sink: AnswerSink): Promise<void> {
    const tracker = ExecutionTracker.create()
    const retryable = route.kind === 'model' || route.idempotent
    let failure = createFailure(ResultCode.NoRunner, `no live host serves the pool ${route.pool}`, { retryAfterMs: RETRY_AFTER_MS })
    for (const peer of this.options.directory.peersOf(route.pool).slice(0, MAX_HOSTS)) {
      const failed = await this.#tryPeer(peer, request, sink)
      if (failed === undefined) return
      failure = failed
      tracker.record(failed)
      const mayRetry = failed.ran === Ran.No || retryable
      if (sink.started || !mayRetry || request.signal.aborted) break
    }
    this.options.metrics.failures.inc({ code: failure.code.code })
    sink.fail(tracker.toFinalFailure(failure))
  }

  /** Returns the failure, or undefined if the complete answer was passed on. */
  async #tryPeer (peer: CellPeer, request: CallerRequest, sink: AnswerSink): Promise<Failure | undefined> {
    const { span, context } = startChildSpan('forward', SpanKind.CLIENT, request.trace)
    span.setAttribute('figloom.peer', peer.host)
    this.options.metrics.forwards.inc()
    try {
      return await this.#forwardTo(peer, request, traceHeaders(context), sink)
    } catch (error) {
      this.options.logger.warn('forwarding to a peer failed', { requestId: request.id, peer: peer.host, error: String(error) })
      return toForwardFailure(error)
    } finally {
      span.end()
    }
  }

  async #forwardTo (peer: CellPeer, request: CallerRequest, trace: HeaderFields, sink: AnswerSink): Promise<Failure | undefined> {
    const remainingMs = (request.deadlineMs ?? Infinity) - this.options.clock.monotonicMs()
    if (remainingMs <= 0) return createFailure(ResultCode.DeadlinePassed, 'the deadline passed before the request was forwarded')
    const stream = this.options.clients.get(peer.innerUrl).forward({
      protocolVersion: PROTOCOL_VERSION,
      requestId: request.id,
      method: request.method,
      path: request.path,
      headers: Object.entries({ ...request.headers, ...trace }).map(([name, value]) => ({ name, value })),
      body: new Uint8Array(request.body),
      deadlineMs: Number.isFinite(remainingMs) ? Math.ceil(remainingMs) : 0,
      hops: request.hops + 1
    }, { signal: request.signal })
    for await (const chunk of stream) {
      const done = await writeChunk(chunk, sink)
      if (done !== undefined) return done.failure
    }
    return createFailure(ResultCode.ForwardFailed, 'the answer from the peer ended without an end marker')
  }
}

async function writeChunk ({ part }: ForwardChunk, sink: AnswerSink): Promise<{ failure?: Failure } | undefined> {
  switch (part.case) {
    case 'head':
      sink.writeHead(part.value.status, Object.fromEntries(part.value.headers.map(({ name, value }) => [name, value])))
      return undefined
    case 'body':
      await sink.write(part.value)
      return undefined
    case 'end':
      if (part.value.resultCode !== 0) return { failure: createFailure(findResultCode(part.value.resultCode), 'the answer ended at the peer before it was complete') }
      sink.end()
      return {}
    default:
      return undefined
  }
}

function findResultCode (code: number): ResultCode {
  return Object.values(ResultCode).find((entry) => entry.code === code) ?? ResultCode.AnswerIncomplete
}

/** Only a refused connection proves that the peer did not receive the request. */
function toForwardFailure (error: unknown): Failure {
  const cause = error instanceof ConnectError ? error.cause : error
  const code = (cause as NodeJS.ErrnoException | undefined)?.code
  if (code === 'ECONNREFUSED') {
    return createFailure(ResultCode.ForwardFailed, 'the peer refused the connection', { ran: Ran.No, retryAfterMs: RETRY_AFTER_MS })
  }
  return createFailure(ResultCode.ForwardFailed, 'the peer failed before the answer was complete')
}
