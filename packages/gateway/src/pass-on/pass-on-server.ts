/**
 * Sends requests to runners for hosts that don't reach them. This host is a transport alone: the other host has chosen the runner,
 * encoded the request and holds the permit; it judges the answer and decides on retries. A request is never passed on further.
 */
import type { PassOnPart, PassOnRequest } from '@figloom/protocol'
import type { Clock, Logger } from '@figloom/runtime'
import { err, ok, type Result } from 'neverthrow'
import type { RunnerConnections } from '../forward/runner-connections.js'
import type { RequestCodec } from '../forward/types.js'
import type { RunnerGates } from '../gates/runner-gates.js'
import type { ByteBudget } from '../memory/byte-budget.js'
import type { RunnerPaths } from '../paths/types.js'
import type { RunnerState, RunnerTable } from '../runners/runner-table.js'
import { MAX_BODY_BYTES, MAX_CONCURRENT_REQUESTS } from './limits.js'
import { outcomeOfRefusal, type PassOnMetrics } from './metrics.js'
import { refusal } from './refusal.js'
import { RefusalReason } from './refusal-reason.js'
import { ServedRequest } from './served-request.js'

export type PassOnServerParts = {
  clock: Clock
  log: Logger
  metrics: PassOnMetrics
  codec: RequestCodec
  runners: RunnerTable
  closures: RunnerGates
  connections: RunnerConnections
  paths: RunnerPaths
  /** Limits what is kept of the answers on their way to other hosts. */
  memory: ByteBudget
  isLeaving: () => boolean
}

export class PassOnServer {
  #inFlight = 0

  private constructor (private readonly parts: PassOnServerParts) {}

  static create (parts: PassOnServerParts): PassOnServer {
    return new PassOnServer(parts)
  }

  /** Requests of other hosts whose answers aren't complete. */
  get inFlight (): number {
    return this.#inFlight
  }

  serve (message: PassOnRequest, signal: AbortSignal): AsyncIterable<PassOnPart> {
    const { connections, metrics } = this.parts
    const runner = this.#admit(message)
    if (runner.isErr()) return this.#refuse(message, runner.error)
    const dispatcher = connections.dispatcherFor(message.runnerId, message.address)
    if (dispatcher.isErr()) return this.#refuse(message, RefusalReason.NotListed)
    this.#inFlight += 1
    const served = ServedRequest.start({
      parts: this.parts,
      message,
      runner: runner.value,
      dispatcher: dispatcher.value,
      signal,
      onOver: (outcome) => {
        this.#inFlight -= 1
        metrics.servedForHosts.inc({ outcome })
      }
    })
    return served.answer()
  }

  #admit (message: PassOnRequest): Result<RunnerState, RefusalReason> {
    const { isLeaving, paths, runners } = this.parts
    if (isLeaving()) return err(RefusalReason.Stopping)
    if (this.#inFlight >= MAX_CONCURRENT_REQUESTS) return err(RefusalReason.Full)
    if ((message.body?.length ?? 0) > MAX_BODY_BYTES) return err(RefusalReason.TooLarge)
    if (!(message.timeLeftMs > 0 && Number.isFinite(message.timeLeftMs))) return err(RefusalReason.Late)
    if (message.headers.length % 2 !== 0) return err(RefusalReason.Malformed)
    const runner = runners.get(message.runnerId)
    if (runner === undefined || !isProcess(runner, message)) return err(RefusalReason.NotListed)
    if (!runners.mayUse(runner)) return err(RefusalReason.Closed)
    return paths.reaches(runner.entry) ? ok(runner) : err(RefusalReason.CutOff)
  }

  #refuse ({ requestId, runnerId }: PassOnRequest, reason: RefusalReason): AsyncIterable<PassOnPart> {
    this.parts.log.info('request of another host refused', { requestId, runner: runnerId, reason })
    this.parts.metrics.servedForHosts.inc({ outcome: outcomeOfRefusal(reason) })
    return refusal(reason)
  }
}

/** Whether the message means the process that this host lists. */
function isProcess ({ entry }: RunnerState, { address, startedUnixMs }: PassOnRequest): boolean {
  if (entry.address !== address) return false
  return startedUnixMs === undefined || entry.startedUnixMs === undefined || Number(startedUnixMs) === Math.round(entry.startedUnixMs)
}
