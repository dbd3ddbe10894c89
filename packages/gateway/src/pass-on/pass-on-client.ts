/** Passes requests on to other hosts, and ends the attempts at hosts that no longer report. */
import { create } from '@bufbuild/protobuf'
import { PassOnRequestSchema, type PassOnPart, type PassOnRequest } from '@figloom/protocol'
import type { Clock, Timer } from '@figloom/runtime'
import type { Attempt, AttemptObserver, AttemptRequest } from '../forward/attempt.js'
import type { LocatedRunner } from '../gates/types.js'
import type { PathKind, RunnerPath } from '../paths/types.js'
import { HostAttempt } from './host-attempt.js'
import { HostClients } from '../members/host-clients.js'
import type { ByteBudget, ByteHold } from '../memory/byte-budget.js'
import { HostConnections } from './host-connections.js'
import { MAX_BODY_BYTES, MAX_PART_BYTES } from './limits.js'
import type { PassOnMetrics } from './metrics.js'
import { refusal } from './refusal.js'
import { RefusalReason } from './refusal-reason.js'

/** Interval between checks whether the hosts still report. */
const LIVENESS_CHECK_MS = 200

export type HostPath = RunnerPath & { kind: typeof PathKind.ViaHost }

/** A request as it is encoded for its runner. */
export type RequestToPassOn = {
  requestId: string
  runner: LocatedRunner
  request: AttemptRequest
  timeLeftMs: number
}

export type PassOnClientParts = {
  clock: Clock
  metrics: PassOnMetrics
  /** Limits what is kept of the requests on their way to other hosts. */
  memory: ByteBudget
  /** Whether a host reports. */
  isLive: (host: string) => boolean
}

/** A host counts as silent only after it has reported: one that just started may not be known yet. */
type OpenAttempt = { host: string, attempt: HostAttempt, hasReported: boolean }

export class PassOnClient {
  readonly #connections = HostConnections.create()
  readonly #clients = HostClients.create(this.#connections, MAX_PART_BYTES)
  readonly #open = new Set<OpenAttempt>()
  #livenessTimer: Timer | undefined

  private constructor (private readonly parts: PassOnClientParts) {}

  static create (parts: PassOnClientParts): PassOnClient {
    return new PassOnClient(parts)
  }

  start ({ host, peerAddress }: HostPath, request: RequestToPassOn, observer: AttemptObserver): Attempt {
    const { clock, memory, metrics } = this.parts
    const hold = memory.open(host, () => {})
    hold.fix()
    const attempt = HostAttempt.start({
      call: (signal) => this.#call(peerAddress, request, hold, signal),
      observer,
      clock,
      onOver: (outcome) => {
        this.#open.delete(entry)
        hold.close()
        metrics.passedOn.inc({ outcome })
      }
    })
    const entry = { host, attempt, hasReported: this.parts.isLive(host) }
    this.#open.add(entry)
    this.#livenessTimer ??= this.#scheduleCheck()
    return attempt
  }

  /** Closes everything at once. */
  destroy (): void {
    for (const { attempt } of [...this.#open]) attempt.cancel()
    this.#livenessTimer?.cancel()
    this.#connections.destroy()
  }

  /** The message is a copy of the body, which is kept until the other host has read it. */
  #call (peerAddress: string, request: RequestToPassOn, hold: ByteHold, signal: AbortSignal): AsyncIterable<PassOnPart> {
    const bodyBytes = request.request.body?.length ?? 0
    if (bodyBytes > MAX_BODY_BYTES) return refusal(RefusalReason.TooLarge)
    if (!hold.take(bodyBytes)) return refusal(RefusalReason.NoMemory)
    return this.#clients.at(peerAddress).passOn(toMessage(request), { signal })
  }

  #scheduleCheck (): Timer {
    const { clock } = this.parts
    const dueMs = clock.monotonicMs() + LIVENESS_CHECK_MS
    return clock.setTimer(LIVENESS_CHECK_MS, () => this.#checkLiveness(clock.monotonicMs() - dueMs))
  }

  #checkLiveness (lateMs: number): void {
    // After a stall of this process, the reports of the other hosts have not been read yet.
    const isStalled = lateMs > LIVENESS_CHECK_MS
    for (const open of [...this.#open]) {
      if (this.parts.isLive(open.host)) open.hasReported = true
      else if (open.hasReported && !isStalled) open.attempt.onHostSilent()
    }
    this.#livenessTimer = this.#open.size === 0 ? undefined : this.#scheduleCheck()
  }
}

function toMessage ({ requestId, runner, request, timeLeftMs }: RequestToPassOn): PassOnRequest {
  return create(PassOnRequestSchema, {
    requestId,
    runnerId: runner.id,
    address: runner.address,
    startedUnixMs: runner.startedUnixMs === undefined ? undefined : BigInt(Math.round(runner.startedUnixMs)),
    method: request.method,
    target: request.target,
    headers: request.headers,
    body: request.body,
    timeLeftMs
  })
}
