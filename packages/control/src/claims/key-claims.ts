/** Claims keys for an entry host: tries the gateways of the stream in turn, then this host itself. */
import { createFailure, ResultCode, type Clock, type Failure, type IdSource } from '@figloom/runtime'
import { Attempt } from './attempt.js'
import type { ClaimStreams } from './claim-streams.js'
import { hashKey, shortenFingerprint, streamIndexOf } from './keys.js'
import { UnreachableGateways } from './unreachable-gateways.js'
import { TakenReason, type AttemptEnd, type ClaimAnswer, type ClaimPeers, type ClaimRequest, type KeptAnswer } from './types.js'

/** A non-idempotent call. */
export type KeyedCall = {
  service: string
  /** The caller's Idempotency-Key. */
  key: string
  /** SHA-256 of method, path and body. */
  fingerprint: Uint8Array
  /** Time left for the call, in milliseconds. */
  timeoutMs: number
}

export type ClaimResult =
  /** The call may be sent, once, after `attempt.beginSend()`. */
  | { kind: 'won', attempt: Attempt }
  /** The caller gets the answer kept from an earlier attempt. */
  | { kind: 'replay', answer: KeptAnswer }
  /** The failure's code is 4002, 4003, 4004 or 4005. */
  | { kind: 'refused', failure: Failure }

export type KeyClaimsOptions = {
  host: string
  incarnation: string
  clock: Clock
  ids: IdSource
  peers: ClaimPeers
  streams: ClaimStreams
  /** Hosts to send a stream's claims to, in order: its gateways, then others of the own region; see gateways.ts. */
  gatewaysOf: (index: number) => string[]
}

/** Number of gateways that report the log as unavailable before the call is refused. */
const MAX_REFUSALS = 2
const UNAVAILABLE_RETRY_MS = 1000
const IN_PROGRESS_RETRY_MS = 500
const DELIVERY_RETRY_MS = 1000
const MAX_DELIVERY_TRIES = 60

/** Entry point for the daemon; its only state is attempts in progress and gateways that recently failed to answer. */
export class KeyClaims {
  readonly #abort = new AbortController()
  readonly #deliveries = new Set<Promise<void>>()
  readonly #unreachable = UnreachableGateways.create()

  private constructor (private readonly options: KeyClaimsOptions) {}

  static create (options: KeyClaimsOptions): KeyClaims {
    return new KeyClaims(options)
  }

  /** Resolves when the end of every attempt of this host was delivered to a gateway, or its delivery was given up. */
  async delivered (): Promise<void> {
    await Promise.all(this.#deliveries)
  }

  /** Stops retrying deliveries. */
  stop (): void {
    this.#abort.abort()
  }

  /** Claims the call's key. Nothing may be sent before the claim is won. */
  async claim (call: KeyedCall): Promise<ClaimResult> {
    const { clock, ids, host, incarnation } = this.options
    const key = hashKey(call.service, call.key)
    const deadlineMs = clock.monotonicMs() + call.timeoutMs
    const attemptId = ids.next()
    const request = { key, fingerprint: shortenFingerprint(call.fingerprint), attemptId, host, incarnation, timeoutMs: call.timeoutMs }
    const { answer, mayBeAppended } = await this.#requestClaim(request, deadlineMs)
    const attempt = Attempt.create({ key, attemptId, clock, deadlineMs, deliver: (end) => this.#startDelivery(end) })
    if (answer.kind === 'won' && clock.monotonicMs() < deadlineMs) return { kind: 'won', attempt }
    if (answer.kind === 'won' || mayBeAppended) attempt.abandon()
    if (answer.kind === 'replay') return answer
    return { kind: 'refused', failure: toFailure(answer) }
  }

  /** `mayBeAppended`: a gateway tried before the one that answered may have appended the claim. */
  async #requestClaim (request: ClaimRequest, deadlineMs: number): Promise<{ answer: ClaimAnswer, mayBeAppended: boolean }> {
    const gateways = this.#gateways(request.key)
    let mayBeAppended = false
    let refusals = 0
    for (const [turn, gateway] of gateways.entries()) {
      const leftMs = deadlineMs - this.options.clock.monotonicMs()
      if (leftMs <= 0 || refusals === MAX_REFUSALS) break
      const timeoutMs = leftMs / Math.min(gateways.length - turn, 2)
      const answer = await this.#requestClaimFrom(gateway, { ...request, timeoutMs })
      if (answer.kind !== 'unavailable') return { answer, mayBeAppended }
      mayBeAppended ||= answer.mayBeAppended
      if (answer.fromGateway === true) refusals += 1
      else this.#unreachable.add(gateway, this.options.clock.monotonicMs())
    }
    return { answer: { kind: 'unavailable', mayBeAppended }, mayBeAppended }
  }

  async #requestClaimFrom (gateway: string, request: ClaimRequest): Promise<ClaimAnswer> {
    if (gateway === this.options.host) return markAsGatewayAnswer(await this.options.streams.get(streamIndexOf(request.key)).claim(request))
    const timeoutAbort = new AbortController()
    const timeout = this.options.clock.sleep(request.timeoutMs, timeoutAbort.signal)
      .then((): ClaimAnswer => ({ kind: 'unavailable', mayBeAppended: true }))
    const answer = this.options.peers.claim(gateway, request)
      .then((value): ClaimAnswer => 'kind' in value ? markAsGatewayAnswer(value) : { kind: 'unavailable', mayBeAppended: value.ran !== 'no' })
      .catch((): ClaimAnswer => ({ kind: 'unavailable', mayBeAppended: true }))
    const first = await Promise.race([answer, timeout])
    timeoutAbort.abort()
    return first
  }

  #gateways (key: string): string[] {
    const { host, gatewaysOf } = this.options
    const gateways = [...new Set([...gatewaysOf(streamIndexOf(key)), host])]
    return this.#unreachable.moveToEnd(gateways, host, this.options.clock.monotonicMs())
  }

  #startDelivery (end: AttemptEnd): void {
    const delivery = this.#deliver(end).finally(() => this.#deliveries.delete(delivery))
    this.#deliveries.add(delivery)
  }

  async #deliver (end: AttemptEnd): Promise<void> {
    for (let tries = 0; tries < MAX_DELIVERY_TRIES && !this.#abort.signal.aborted; tries++) {
      for (const gateway of this.#gateways(end.key)) {
        if (await this.#deliverTo(gateway, end)) return
      }
      await this.options.clock.sleep(DELIVERY_RETRY_MS, this.#abort.signal)
    }
  }

  async #deliverTo (gateway: string, end: AttemptEnd): Promise<boolean> {
    if (gateway === this.options.host) return this.options.streams.get(streamIndexOf(end.key)).end(end)
    return this.options.peers.end(gateway, end).catch(() => false)
  }
}

/** Marks a refusal as sent by the gateway, in contrast to a missing connection. */
function markAsGatewayAnswer (answer: ClaimAnswer): ClaimAnswer {
  return answer.kind === 'unavailable' ? { ...answer, fromGateway: true } : answer
}

function toFailure (answer: ClaimAnswer): Failure {
  if (answer.kind !== 'taken') {
    return createFailure(ResultCode.ClaimUnavailable, 'the key could not be claimed in time', { retryAfterMs: UNAVAILABLE_RETRY_MS })
  }
  switch (answer.reason) {
    case TakenReason.Reused:
      return createFailure(ResultCode.KeyReused, 'the key belongs to another request')
    case TakenReason.InProgress:
      return createFailure(ResultCode.KeyInProgress, 'a call with this key is in progress', { retryAfterMs: IN_PROGRESS_RETRY_MS })
    case TakenReason.OutcomeUnknown:
      return createFailure(ResultCode.OutcomeUnknown, 'an earlier call with this key may have run')
  }
}
