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
  /** Time for an answer when the caller names no deadline, in milliseconds. */
  defaultDeadlineMs: number
}

/** Hosts tried for one request. */
const MAX_HOSTS = 2
const RETRY_AFTER_MS = 1000

/** Forwards over the inner protocol; tries another host only if the first certainly did not run the request. */
export class PeerForwarder extends Forwarder {
  private constructor (private readonly options: ForwarderOptions) {
    super()
  }

  static create (options: ForwarderOptions): PeerForwarder {
    return new PeerForwarder(options)
  }

  override async forward (request: CallerRequest, route: Route, sink: AnswerSink): Promise<void> {
    const certainty = ExecutionTracker.create()
    const repeatable = route.kind === 'model' || route.idempotent
    let failure = createFailure(ResultCode.NoRunner, `no live host serves the pool ${route.pool}`, { retryAfterMs: RETRY_AFTER_MS })
    for (const peer of this.options.directory.peersOf(route.pool).slice(0, MAX_HOSTS)) {
      const failed = await this.#tryPeer(peer, request, sink)
      if (failed === undefined) return
      failure = failed
      certainty.record(failed)
      const mayRepeat = failed.ran === Ran.No || repeatable
      if (sink.started || !mayRepeat || request.signal.aborted) break
    }
    this.options.metrics.failures.inc({ code: failure.code.code })
    sink.fail(certainty.toFinalFailure(failure))
  }

  /** Returns the failure, or nothing when the answer was passed on whole. */
  async #tryPeer (peer: CellPeer, request: CallerRequest, sink: AnswerSink): Promise<Failure | undefined> {
    const { span, context } = startChildSpan('forward', SpanKind.CLIENT, request.trace)
    span.setAttribute('figloom.peer', peer.host)
    this.options.metrics.forwards.inc()
    try {
      return await this.#pass(peer, request, traceHeaders(context), sink)
    } catch (error) {
      this.options.logger.warn('forward failed', { requestId: request.id, peer: peer.host, error: String(error) })
      return toForwardFailure(error)
    } finally {
      span.end()
    }
  }

  async #pass (peer: CellPeer, request: CallerRequest, trace: HeaderFields, sink: AnswerSink): Promise<Failure | undefined> {
    const leftMs = (request.deadlineMs ?? Infinity) - this.options.clock.monotonicMs()
    if (leftMs <= 0) return createFailure(ResultCode.DeadlinePassed, 'the deadline passed before the request was forwarded')
    const stream = this.options.clients.get(peer.innerUrl).forward({
      protocolVersion: PROTOCOL_VERSION,
      requestId: request.id,
      method: request.method,
      path: request.path,
      headers: Object.entries({ ...request.headers, ...trace }).map(([name, value]) => ({ name, value })),
      body: new Uint8Array(request.body),
      deadlineMs: Number.isFinite(leftMs) ? Math.ceil(leftMs) : 0,
      hops: request.hops + 1
    }, { signal: request.signal })
    for await (const chunk of stream) {
      const done = await passChunk(chunk, sink)
      if (done !== undefined) return done.failure
    }
    return createFailure(ResultCode.ForwardFailed, 'the answer of the peer has no end')
  }
}

async function passChunk ({ part }: ForwardChunk, sink: AnswerSink): Promise<{ failure?: Failure } | undefined> {
  switch (part.case) {
    case 'head':
      sink.writeHead(part.value.status, Object.fromEntries(part.value.headers.map(({ name, value }) => [name, value])))
      return undefined
    case 'body':
      await sink.write(part.value)
      return undefined
    case 'end':
      if (part.value.resultCode !== 0) return { failure: createFailure(findResultCode(part.value.resultCode), 'the answer broke off at the peer') }
      sink.end()
      return {}
    default:
      return undefined
  }
}

function findResultCode (code: number): ResultCode {
  return Object.values(ResultCode).find((entry) => entry.code === code) ?? ResultCode.AnswerIncomplete
}

/** Only a refused connection proves that the peer never got the request. */
function toForwardFailure (error: unknown): Failure {
  const cause = error instanceof ConnectError ? error.cause : error
  const code = (cause as NodeJS.ErrnoException | undefined)?.code
  if (code === 'ECONNREFUSED') {
    return createFailure(ResultCode.ForwardFailed, 'the peer refused the connection', { ran: Ran.No, retryAfterMs: RETRY_AFTER_MS })
  }
  return createFailure(ResultCode.ForwardFailed, 'the peer failed before the answer was complete')
}
