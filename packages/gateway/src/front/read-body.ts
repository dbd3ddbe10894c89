/** Reads request bodies within bounds, and discards what is left of a body after its request was refused. */
import type { IncomingMessage } from 'node:http'
import { createFailure, ResultCode, type Clock, type Failure } from '@figloom/runtime'
import { err, ok, type Result } from 'neverthrow'
import type { ByteBudget } from '../memory/byte-budget.js'
import { ByteCollector } from '../memory/byte-collector.js'

/** Bytes of a body that are discarded so that its connection can be reused and its caller receives the answer. */
const MAX_DISCARDED_BYTES = 262_144
/** The same limit as a time. */
const MAX_DISCARD_MS = 1_000
/** Bodies that are incomplete end or give way in about this time. */
const OUT_OF_MEMORY_RETRY_MS = 500
/** Owner of the bodies whose callers have disconnected before their address was read. */
const UNKNOWN_ADDRESS = 'unknown'

export type BodyBounds = {
  maxBytes: number
  /** Time within which the whole body has to be received. */
  maxMs: number
}

/** The body of a request; undefined bytes: it has none. */
export type RequestBody = {
  bytes: Buffer | undefined
  /** Gives its memory back; must be called when the request has ended. */
  release: () => void
}

const NO_BODY: RequestBody = { bytes: undefined, release: () => {} }

/**
 * Reads the whole body, so that the request can be retried.
 * @param memory counts the body against the owner with its caller's address; a body that isn't complete yet may have to give way
 */
export function readBody (incoming: IncomingMessage, { maxBytes, maxMs }: BodyBounds, clock: Clock, memory: ByteBudget): Promise<Result<RequestBody, Failure>> {
  if (!hasBody(incoming)) return Promise.resolve(ok(NO_BODY))
  if (Number(incoming.headers['content-length'] ?? 0) > maxBytes) return Promise.resolve(err(tooLarge()))
  return new Promise((resolve) => {
    const hold = memory.open(incoming.socket.remoteAddress ?? UNKNOWN_ADDRESS, () => fail(outOfMemory()))
    // Undefined once the body is complete or refused: the listeners below outlive it.
    let collector: ByteCollector | undefined = ByteCollector.create(hold)
    const finish = (result: Result<RequestBody, Failure>) => {
      collector = undefined
      timer.cancel()
      incoming.off('data', onData)
      resolve(result)
    }
    const fail = (failure: Failure) => {
      if (collector === undefined) return
      hold.close()
      finish(err(failure))
    }
    const onData = (chunk: Buffer) => {
      if (collector === undefined) return
      if (collector.bytes + chunk.length > maxBytes) return fail(tooLarge())
      if (!collector.push(chunk)) fail(outOfMemory())
    }
    const onEnd = () => {
      if (collector === undefined) return
      const bytes = collector.whole()
      hold.fix()
      // The blocks that were collected have room to spare.
      hold.giveBack(hold.bytes - bytes.length)
      finish(ok({ bytes, release: () => hold.close() }))
    }
    const timer = clock.setTimer(maxMs, () => fail(tooSlow()))
    incoming.on('data', onData)
    incoming.once('end', onEnd)
    incoming.once('error', (error) => fail(incomplete(error.message)))
    incoming.once('close', () => fail(incomplete('the connection closed')))
  })
}

/**
 * Discards the rest of the body of a request that was answered early.
 * Closes the connection if the rest has more bytes or takes longer than the limits above.
 */
export function discardRest (incoming: IncomingMessage, clock: Clock, maxBytes = MAX_DISCARDED_BYTES): void {
  if (!hasBody(incoming) || incoming.complete || incoming.destroyed) return
  const { socket } = incoming
  let bytes = 0
  const timer = clock.setTimer(MAX_DISCARD_MS, () => {
    if (!incoming.complete) socket.destroySoon()
  })
  incoming.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes > maxBytes) socket.destroySoon()
  })
  incoming.once('error', () => socket.destroy())
  incoming.once('close', () => timer.cancel())
}

function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

function tooLarge (): Failure {
  return createFailure(ResultCode.BodyTooLarge, 'the body exceeds the limit')
}

function tooSlow (): Failure {
  return createFailure(ResultCode.BodyTooSlow, 'the body was not received within the time limit of the request')
}

function outOfMemory (): Failure {
  return createFailure(ResultCode.OutOfMemory, 'there is no memory left for the body', { retryAfterMs: OUT_OF_MEMORY_RETRY_MS })
}

function incomplete (reason: string): Failure {
  return createFailure(ResultCode.MalformedRequest, `the body is incomplete: ${reason}`)
}
