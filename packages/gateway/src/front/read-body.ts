/** Reads request bodies within bounds, and discards what is left of a body after its request was refused. */
import type { IncomingMessage } from 'node:http'
import { createFailure, ResultCode, type Clock, type Failure } from '@figloom/runtime'
import { err, ok, type Result } from 'neverthrow'

/** Bytes of a body that are discarded so that its connection can be reused and its caller receives the answer. */
const MAX_DISCARDED_BYTES = 262_144
/** The same limit as a time. */
const MAX_DISCARD_MS = 1_000

export type BodyBounds = {
  maxBytes: number
  /** Time within which the whole body has to be received. */
  maxMs: number
}

/** Reads the whole body, so that the request can be retried; undefined if there is none. */
export function readBody (incoming: IncomingMessage, { maxBytes, maxMs }: BodyBounds, clock: Clock): Promise<Result<Buffer | undefined, Failure>> {
  if (!hasBody(incoming)) return Promise.resolve(ok(undefined))
  if (Number(incoming.headers['content-length'] ?? 0) > maxBytes) return Promise.resolve(err(tooLarge()))
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let bytes = 0
    const finish = (result: Result<Buffer | undefined, Failure>) => {
      timer.cancel()
      incoming.off('data', onData)
      resolve(result)
    }
    const onData = (chunk: Buffer) => {
      chunks.push(chunk)
      bytes += chunk.length
      if (bytes > maxBytes) finish(err(tooLarge()))
    }
    const timer = clock.setTimer(maxMs, () => finish(err(tooSlow())))
    incoming.on('data', onData)
    incoming.once('end', () => finish(ok(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks))))
    incoming.once('error', (error) => finish(err(incomplete(error.message))))
    incoming.once('close', () => finish(err(incomplete('the connection closed'))))
  })
}

/** Discards the rest of the body of a request that was answered early. Closes the connection if the body exceeds the limits above. */
export function discardRest (incoming: IncomingMessage, clock: Clock): void {
  if (!hasBody(incoming) || incoming.complete || incoming.destroyed) return
  const { socket } = incoming
  let bytes = 0
  const timer = clock.setTimer(MAX_DISCARD_MS, () => {
    if (!incoming.complete) socket.destroySoon()
  })
  incoming.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes > MAX_DISCARDED_BYTES) socket.destroySoon()
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

function incomplete (reason: string): Failure {
  return createFailure(ResultCode.MalformedRequest, `the body is incomplete: ${reason}`)
}
