/** Queue of requests that wait for a runner: ordered by priority, fair between routes, by deadline within a route. */
import { Priority } from '@figloom/tables'
import { targetKey, type RouteRequest } from '../types.js'

type RouteQueue = { route: string, priority: Priority, virtualTime: number, requests: RouteRequest[] }

/** Start-time fair queue. A route's virtual time grows with the work dispatched for it. */
export class FairQueue {
  readonly #queues = new Map<string, RouteQueue>()
  #virtualTime = 0
  #size = 0

  static create (): FairQueue {
    return new FairQueue()
  }

  get size (): number {
    return this.#size
  }

  /** Number of waiting requests of one route. */
  waitingForRoute (route: string): number {
    let count = 0
    for (const queue of this.#queues.values()) if (queue.route === route) count += queue.requests.length
    return count
  }

  /** Number of waiting requests for the same target that are dispatched before a new one. Batch goes after interactive. */
  countAhead (request: RouteRequest): number {
    const key = targetKey(request.target)
    let count = 0
    for (const queue of this.#queues.values()) {
      if (request.priority === Priority.Interactive && queue.priority === Priority.Batch) continue
      for (const other of queue.requests) if (targetKey(other.target) === key) count += 1
    }
    return count
  }

  push (request: RouteRequest): void {
    const queue = this.#queueOf(request)
    const at = queue.requests.findLastIndex((other) => other.deadlineMs <= request.deadlineMs)
    queue.requests.splice(at + 1, 0, request)
    this.#size += 1
  }

  /** Removes a canceled request; false if it is not in the queue. */
  remove (requestId: string): boolean {
    for (const queue of this.#queues.values()) {
      const at = queue.requests.findIndex((request) => request.id === requestId)
      if (at < 0) continue
      this.#removeAt(queue, at)
      return true
    }
    return false
  }

  /** Charges work to a request's route, so that other routes are served until they have caught up. */
  charge (request: RouteRequest, work: number): void {
    const queue = this.#queues.get(queueKey(request))
    if (queue === undefined) return
    this.#virtualTime = Math.max(this.#virtualTime, queue.virtualTime)
    queue.virtualTime += work
  }

  /**
   * Visits waiting requests in dispatch order: interactive before batch, then the route with the least work charged.
   * `tryDispatch` returns whether the request leaves the queue; once it returns false for a route, the rest of that
   * route is skipped.
   */
  drain (tryDispatch: (request: RouteRequest) => boolean): void {
    for (const priority of [Priority.Interactive, Priority.Batch]) this.#drainPriority(priority, tryDispatch)
    for (const [key, queue] of this.#queues) if (queue.requests.length === 0) this.#queues.delete(key)
  }

  #drainPriority (priority: Priority, tryDispatch: (request: RouteRequest) => boolean): void {
    const open = new Set([...this.#queues.values()].filter((queue) => queue.priority === priority && queue.requests.length > 0))
    while (open.size > 0) {
      const queue = leastServed(open)
      const head = queue.requests[0]
      if (head !== undefined && tryDispatch(head)) this.#removeAt(queue, 0)
      else open.delete(queue)
    }
  }

  #queueOf (request: RouteRequest): RouteQueue {
    const key = queueKey(request)
    const existing = this.#queues.get(key)
    if (existing !== undefined) return existing
    const queue = { route: request.route, priority: request.priority, virtualTime: this.#virtualTime, requests: [] }
    this.#queues.set(key, queue)
    return queue
  }

  #removeAt (queue: RouteQueue, at: number): void {
    queue.requests.splice(at, 1)
    this.#size -= 1
  }
}

function queueKey (request: RouteRequest): string {
  return `${request.priority}:${request.route}`
}

function leastServed (queues: Iterable<RouteQueue>): RouteQueue {
  let least: RouteQueue | undefined
  for (const queue of queues) if (least === undefined || queue.virtualTime < least.virtualTime) least = queue
  return least as RouteQueue
}
