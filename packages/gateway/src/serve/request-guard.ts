/**
 * Keeps one request from ending runners: checks whether its content or a part of its prompt is blocked, and reports when it is at
 * a runner and how far its answer has come.
 */
import type { CrashMonitor } from '../crashes/crash-monitor.js'
import { Departure, type FeatureBlock } from '../crashes/types.js'
import type { LocatedRunner } from '../gates/types.js'
import type { AcceptedRequest } from './types.js'

export class RequestGuard {
  readonly #requestId: string
  readonly #featureIds: readonly string[]
  #unwatch: (() => void) | undefined

  private constructor (private readonly crashes: CrashMonitor, request: AcceptedRequest) {
    this.#requestId = request.id
    this.#featureIds = request.featureIds
  }

  /** @param onBlocked called when a feature of the request is blocked while it is in progress */
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
    this.crashes.onSent(runner, { requestId: this.#requestId, featureIds: this.#featureIds, attempt, begun: false })
  }

  onBegun (runner: LocatedRunner): void {
    this.crashes.onBegun(runner, this.#requestId)
  }

  /** The request is no longer at the runner. */
  onLeft (runner: LocatedRunner, departure: Departure): void {
    this.crashes.onLeft(runner, this.#requestId, departure)
  }

  /** The request has its final answer. */
  end (): void {
    this.#unwatch?.()
  }
}
