/** Creates the append queue and the follower of a claim stream. */
import { StreamFollower, type StreamEvent } from '../streams/stream-follower.js'
import { AppendQueue } from './append-queue.js'
import type { ClaimStreamOptions } from './claim-stream-types.js'
import { claimStreamName } from './keys.js'

/** Creates a queue whose record ids no other task uses. */
export function createAppendQueue (options: ClaimStreamOptions, onAppendFailed: () => void): AppendQueue {
  const { log, clock, limits, index, host, incarnation, instance } = options
  return AppendQueue.create({
    log,
    stream: claimStreamName(index),
    clock,
    recordIdPrefix: `${host}-${incarnation}-${instance}-${index}`,
    claimBatchWindowMs: limits.windowMs,
    endBatchWindowMs: limits.endBatchWindowMs,
    timeoutMs: limits.appendTimeoutMs,
    retryMs: limits.retryMs,
    onAppendFailed
  })
}

/** Creates a follower; it reads nothing until `follow` is called. */
export function createFollower (options: ClaimStreamOptions, onEvent: (event: StreamEvent) => void): StreamFollower {
  const { log, clock, limits, index } = options
  return StreamFollower.create({
    log,
    stream: claimStreamName(index),
    clock,
    waitMs: limits.pollMs,
    retryMs: limits.retryMs,
    timeoutMs: limits.appendTimeoutMs,
    onEvent
  })
}
