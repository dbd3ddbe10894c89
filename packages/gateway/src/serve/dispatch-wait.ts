/** Waits at this host until a request that no runner can take now may be tried again: for a load of its model, or for room at full runners. */
import type { Timer } from '@figloom/runtime'
import { LoadWait } from './load-wait.js'
import type { RequestLog } from './request-log.js'
import type { StreamContinuity } from './stream-continuity.js'
import { ROOM_POLL_MS, roomWaitMs } from './take-up-wait.js'
import type { AcceptedRequest, ServeContext } from './types.js'

export type DispatchWaitOptions = {
  context: ServeContext
  request: AcceptedRequest
  continuity: StreamContinuity
  log: RequestLog
  /** Tries the request again. */
  retry: () => void
}

export class DispatchWait {
  #timer: Timer | undefined
  #loadWait: LoadWait | undefined
  #hasWaitedForRoom = false

  private constructor (private readonly options: DispatchWaitOptions) {}

  static create (options: DispatchWaitOptions): DispatchWait {
    return new DispatchWait(options)
  }

  /** Schedules another try if the model is being loaded and will be ready in time; false: there is nothing to wait for. */
  forLoad (): boolean {
    const { context: { clock, loads, host }, request: { service, facts }, continuity, log } = this.options
    if (service.engine === undefined || facts.model === undefined || host.isLeaving()) return false
    const isFirstPoll = this.#loadWait === undefined
    const loadWait = this.#loadWait ?? this.#createLoadWait(facts.model)
    this.#loadWait = loadWait
    if (isFirstPoll) continuity.onMissing()
    const pollMs = loadWait.nextPollMs(clock.monotonicMs())
    if (pollMs === undefined) return false
    const { softwareVersion } = continuity
    if (isFirstPoll) log.note('waits for a load', { model: facts.model, softwareVersion, readyInMs: loads.readyInMs(service.name, facts.model, softwareVersion) })
    this.#schedule(pollMs)
    return true
  }

  /** Schedules another try of a caller that continues a stream, whose runners are full; false: it has waited long enough. */
  forRoom (): boolean {
    const { context: { clock, host }, request: { arrivedMs }, continuity, log } = this.options
    if (!continuity.isTakeUp || host.isLeaving()) return false
    const untilMs = arrivedMs + roomWaitMs(continuity.targetMs)
    const nowMs = clock.monotonicMs()
    if (nowMs + ROOM_POLL_MS > untilMs) return false
    if (!this.#hasWaitedForRoom) log.note('waits for room', { softwareVersion: continuity.softwareVersion, atMostMs: Math.round(untilMs - nowMs) })
    this.#hasWaitedForRoom = true
    this.#schedule(ROOM_POLL_MS)
    return true
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #createLoadWait (model: string): LoadWait {
    const { context: { loads }, request: { service, arrivedMs }, continuity: { softwareVersion, targetMs } } = this.options
    return LoadWait.create(loads, { service: service.name, model, softwareVersion, arrivedMs, targetLatencyMs: targetMs })
  }

  #schedule (delayMs: number): void {
    this.#timer = this.options.context.clock.setTimer(delayMs, this.options.retry)
  }
}
