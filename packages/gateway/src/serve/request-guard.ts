/**
 * Keeps one request from ending runners: checks whether a part of its prompt is blocked, and reports when the request is at a
 * runner and whether its answer has begun.
 */
import type { CrashMonitor } from '../crashes/crash-monitor.js'
import { requestKeyOf } from '../crashes/request-key.js'
import type { FeatureBlock } from '../crashes/types.js'
import type { LocatedRunner } from '../gates/types.js'
import { sharedPartIds } from './request-hints.js'
import type { AcceptedRequest } from './types.js'

export class RequestGuard {
  readonly #requestId: string
  readonly #featureIds: readonly string[]
  readonly #requestKey: string
  #unwatch: (() => void) | undefined

  private constructor (private readonly crashes: CrashMonitor, request: AcceptedRequest) {
    this.#requestId = request.id
    this.#featureIds = sharedPartIds(request.facts)
    this.#requestKey = requestKeyOf(request)
  }

  /** @param onBlocked called when a part of the prompt is blocked while the request is in progress */
  static create (crashes: CrashMonitor, request: AcceptedRequest, onBlocked: (featureId: string) => void): RequestGuard {
    const guard = new RequestGuard(crashes, request)
    guard.#unwatch = crashes.watch(guard.#featureIds, onBlocked)
    return guard
  }

  /** The block that keeps the request from being sent. */
  block (): FeatureBlock | undefined {
    return this.crashes.blockOf(this.#requestId, this.#featureIds)
  }

  mayWrite (): boolean {
    return this.crashes.mayWrite(this.#requestId, this.#featureIds)
  }

  /** @param attempt 1 for the first runner that the request is sent to */
  onSent (runner: LocatedRunner, attempt: number): void {
    this.crashes.onSent(runner, { requestId: this.#requestId, featureIds: this.#featureIds, requestKey: this.#requestKey, attempt, begun: false })
  }

  onBegun (runner: LocatedRunner): void {
    this.crashes.onBegun(runner, this.#requestId)
  }

  /** @param broken the connection broke before the answer was complete */
  onLeft (runner: LocatedRunner, broken: boolean): void {
    this.crashes.onEnded(runner, this.#requestId, broken)
  }

  /** The request has its final answer. */
  end (): void {
    this.#unwatch?.()
  }
}
