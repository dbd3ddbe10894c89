/** Allocates the room at runners that fail if they reject too many requests: one state for each runner, for its latest process. */
import { RunnerRoom, type RoomOptions } from './runner-room.js'
import type { Grant, PermitRequest, RunnerProcess, RunnerUse } from './types.js'

/** Delay after a request for permits that was overtaken by a later one, whose answer counts. */
const OVERTAKEN_RETRY_MS = 20

export class RoomAllocator {
  readonly #rooms = new Map<string, RunnerRoom>()

  private constructor () {}

  static create (): RoomAllocator {
    return new RoomAllocator()
  }

  /**
   * Grants permits for requests that fit into the runner.
   * @param grantRate grants as many as the runner's limit on the rate of requests admits
   */
  grant (request: PermitRequest, options: RoomOptions, grantRate: (wanted: number) => Grant, nowMs: number): Grant {
    const { wanted, runner } = request
    const use = request.use ?? useOfEarlierRelease(request, nowMs)
    const room = this.#roomOf(runner, nowMs)
    if (!room.state(use, nowMs)) return { granted: 0, retryAfterMs: OVERTAKEN_RETRY_MS }
    const admitted = room.admit(wanted, options, nowMs)
    const { granted, retryAfterMs } = grantRate(admitted)
    if (wanted > 0) room.take(use.incarnation, granted, options, nowMs)
    if (admitted === wanted) return { granted, retryAfterMs }
    return { granted, retryAfterMs: Math.max(retryAfterMs, room.retryAfterMs(options, nowMs)) }
  }

  sweep (nowMs: number): void {
    for (const [id, room] of this.#rooms) {
      if (room.isIdle(nowMs)) this.#rooms.delete(id)
    }
  }

  #roomOf ({ id, startedUnixMs }: RunnerProcess, nowMs: number): RunnerRoom {
    const known = this.#rooms.get(id)
    // A host whose list is out of date asks for an earlier start and sends to the present one.
    if (known !== undefined && (known.startedUnixMs ?? 0) >= (startedUnixMs ?? 0)) return known
    const room = RunnerRoom.create(startedUnixMs, nowMs)
    this.#rooms.set(id, room)
    return room
  }
}

/** Such a host states nothing: what it was granted counts until its next request. */
function useOfEarlierRelease ({ host }: PermitRequest, nowMs: number): RunnerUse {
  return { incarnation: host, number: nowMs, inFlight: 0, rejected: 0 }
}
