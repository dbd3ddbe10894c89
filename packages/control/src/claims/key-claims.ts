/** Claims of an entry host: asks the stream's gateways in turn, and this host itself when they are gone. */
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
  /** Run it: once, after `attempt.beginSend()`. */
  | { kind: 'won', attempt: Attempt }
  /** Pass the kept answer on. */
  | { kind: 'replay', answer: KeptAnswer }
  /** 4002, 4003, 4004 or 4005. */
  | { kind: 'refused', failure: Failure }

export type KeyClaimsOptions = {
  host: string
  incarnation: string
  clock: Clock
  ids: IdSource
  peers: ClaimPeers
  streams: ClaimStreams
  /** Hosts to ask for a stream's claims, in order; see `claimOrder`. */
  gatewaysOf: (index: number) => string[]
}

/** Gateways that may say that the log does not answer before the call is refused. */
const MAX_REFUSALS = 2
const UNAVAILABLE_RETRY_MS = 1000
const IN_PROGRESS_RETRY_MS = 500
const DELIVERY_RETRY_MS = 1000
const DELIVERY_TRIES = 60

/** Entry point for the daemon; holds no state beyond the attempts under way. */
export class KeyClaims {
  readonly #abort = new AbortController()
  readonly #deliveries = new Set<Promise<void>>()
  readonly #unreachable = UnreachableGateways.create()

  private constructor (private readonly options: KeyClaimsOptions) {}

  static create (options: KeyClaimsOptions): KeyClaims {
    return new KeyClaims(options)
  }

  /** Resolves when the gateways have taken on how every attempt of this host ended. */
  async delivered (): Promise<void> {
    await Promise.all(this.#deliveries)
  }

  /** Ends repeated deliveries. */
  stop (): void {
    this.#abort.abort()
  }

  /** Claims the call's key. The claim holds as soon as it is won; nothing may be sent before. */
  async claim (call: KeyedCall): Promise<ClaimResult> {
    const { clock, ids, host, incarnation } = this.options
    const key = hashKey(call.service, call.key)
    const deadlineMs = clock.monotonicMs() + call.timeoutMs
    const attemptId = ids.next()
    const request = { key, fingerprint: shortenFingerprint(call.fingerprint), attemptId, host, incarnation, timeoutMs: call.timeoutMs }
    const { answer, mayBeAppended } = await this.#ask(request, deadlineMs)
    const attempt = Attempt.create({ key, attemptId, clock, deadlineMs, deliver: (end) => this.#startDelivery(end) })
    if (answer.kind === 'won' && clock.monotonicMs() < deadlineMs) return { kind: 'won', attempt }
    if (answer.kind === 'won' || mayBeAppended) attempt.abandon()
    if (answer.kind === 'replay') return answer
    return { kind: 'refused', failure: toFailure(answer) }
  }

  /** `mayBeAppended`: a gateway that did not give the answer may hold the claim nevertheless. */
  async #ask (request: ClaimRequest, deadlineMs: number): Promise<{ answer: ClaimAnswer, mayBeAppended: boolean }> {
    const order = this.#gateways(request.key)
    let mayBeAppended = false
    let refusals = 0
    for (const [turn, gateway] of order.entries()) {
      const leftMs = deadlineMs - this.options.clock.monotonicMs()
      if (leftMs <= 0 || refusals === MAX_REFUSALS) break
      const timeoutMs = leftMs / Math.min(order.length - turn, 2)
      const answer = await this.#askOne(gateway, { ...request, timeoutMs })
      if (answer.kind !== 'unavailable') return { answer, mayBeAppended }
      mayBeAppended ||= answer.mayBeAppended
      if (answer.byGateway === true) refusals += 1
      else this.#unreachable.add(gateway, this.options.clock.monotonicMs())
    }
    return { answer: { kind: 'unavailable', mayBeAppended }, mayBeAppended }
  }

  async #askOne (gateway: string, request: ClaimRequest): Promise<ClaimAnswer> {
    if (gateway === this.options.host) return asGateway(await this.options.streams.get(streamIndexOf(request.key)).claim(request))
    const silence = new AbortController()
    const timeout = this.options.clock.sleep(request.timeoutMs, silence.signal)
      .then((): ClaimAnswer => ({ kind: 'unavailable', mayBeAppended: true }))
    const answer = this.options.peers.claim(gateway, request)
      .then((value): ClaimAnswer => 'kind' in value ? asGateway(value) : { kind: 'unavailable', mayBeAppended: value.ran !== 'no' })
      .catch((): ClaimAnswer => ({ kind: 'unavailable', mayBeAppended: true }))
    const first = await Promise.race([answer, timeout])
    silence.abort()
    return first
  }

  #gateways (key: string): string[] {
    const { host, gatewaysOf } = this.options
    const order = [...new Set([...gatewaysOf(streamIndexOf(key)), host])]
    return this.#unreachable.moveToEnd(order, host, this.options.clock.monotonicMs())
  }

  #startDelivery (end: AttemptEnd): void {
    const delivery = this.#deliver(end).finally(() => this.#deliveries.delete(delivery))
    this.#deliveries.add(delivery)
  }

  async #deliver (end: AttemptEnd): Promise<void> {
    for (let tries = 0; tries < DELIVERY_TRIES && !this.#abort.signal.aborted; tries++) {
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

/** Marks a refusal as the gateway's own word, in contrast to one for want of a connection. */
function asGateway (answer: ClaimAnswer): ClaimAnswer {
  return answer.kind === 'unavailable' ? { ...answer, byGateway: true } : answer
}

function toFailure (answer: ClaimAnswer): Failure {
  if (answer.kind !== 'taken') {
    return createFailure(ResultCode.ClaimUnavailable, 'the key could not be claimed in time', { retryAfterMs: UNAVAILABLE_RETRY_MS })
  }
  switch (answer.reason) {
    case TakenReason.Reused:
      return createFailure(ResultCode.KeyReused, 'the key belongs to another request')
    case TakenReason.InProgress:
      return createFailure(ResultCode.KeyInProgress, 'a call with this key is under way', { retryAfterMs: IN_PROGRESS_RETRY_MS })
    case TakenReason.OutcomeUnknown:
      return createFailure(ResultCode.OutcomeUnknown, 'an earlier call with this key may have run')
  }
}
