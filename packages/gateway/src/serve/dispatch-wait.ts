/** Waits at this host until a request that no runner can take now may be tried again: for a load of its model, or for room at full runners. */
import type { Timer } from '@figloom/runtime'
import { WaitEnd } from '../waiting/metrics.js'
import type { RoomWaiter } from '../waiting/room-queue.js'
import { longestWaitMs } from '../waiting/room-wait.js'
import { LoadWait } from './load-wait.js'
import { urgencyOf } from './request-hints.js'
import type { RequestLog } from './request-log.js'
import { poolOf } from './retry-delay.js'
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
  #waiter: RoomWaiter | undefined

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

  /** Waits for room at full runners; false: a place would come too late, or the request may not wait. */
  forRoom (): boolean {
    const { context: { host }, continuity } = this.options
    if (host.isLeaving()) return false
    return continuity.isTakeUp ? this.#forRoomToContinue() : this.#mayWaitInOrder() && this.#forRoomInOrder()
  }

  /** Whether the request has to let others go first that wait for the same runners. */
  isBehindOthers (): boolean {
    const { context: { waiting, host }, continuity } = this.options
    return this.#mayWaitInOrder() && !continuity.isTakeUp && !host.isLeaving() && this.#waiter === undefined && waiting.isBehind(this.#place())
  }

  /** The request goes on, to a runner or to another wait: it is tried no more when there is room. */
  endRoomWait (): void {
    this.#leaveQueue(WaitEnd.Room)
  }

  /** Runners with an engine order what waits by themselves: what waited at a host before would begin late there. */
  #mayWaitInOrder (): boolean {
    return this.options.request.service.engine === undefined
  }

  #forRoomInOrder (): boolean {
    const { context: { clock, waiting }, log } = this.options
    if (this.#waiter !== undefined) return waiting.isWaiting(this.#waiter)
    const place = this.#place()
    const leftMs = place.untilMs - clock.monotonicMs()
    const ahead = waiting.waitingFor(place.pool)
    if (leftMs <= 0) return false
    this.#waiter = { ...place, onRoom: this.options.retry, onLate: this.options.retry, onTurnedAway: () => this.#onTurnedAway() }
    log.note('waits for room', { ahead, urgency: place.urgency, atMostMs: Math.round(leftMs) })
    return waiting.join(this.#waiter)
  }

  #place (): Pick<RoomWaiter, 'pool' | 'urgency' | 'customer' | 'untilMs'> {
    const { request } = this.options
    const { route, customer, arrivedMs } = request
    return { pool: poolOf(request), urgency: urgencyOf(route, customer), customer: customer?.name, untilMs: arrivedMs + longestWaitMs(route.targetLatencyMs) }
  }

  #onTurnedAway (): void {
    this.#leaveQueue(WaitEnd.TurnedAway)
    this.options.retry()
  }

  #leaveQueue (end: WaitEnd): void {
    if (this.#waiter !== undefined) this.options.context.waiting.leave(this.#waiter, end)
  }

  /** Schedules another try of a caller that continues a stream. */
  #forRoomToContinue (): boolean {
    const { context: { clock }, request: { arrivedMs }, continuity, log } = this.options
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
    this.#leaveQueue(WaitEnd.Gone)
  }

  #createLoadWait (model: string): LoadWait {
    const { context: { loads }, request: { service, arrivedMs }, continuity: { softwareVersion, targetMs } } = this.options
    return LoadWait.create(loads, { service: service.name, model, softwareVersion, arrivedMs, targetLatencyMs: targetMs })
  }

  #schedule (delayMs: number): void {
    this.#timer = this.options.context.clock.setTimer(delayMs, this.options.retry)
  }
}
