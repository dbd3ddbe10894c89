import { err, ok, type Result } from 'neverthrow'
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import type { ListenerRequest } from '../listener/http-listener.js'

/** Reads a whole body of at most `maxBytes`. Keeps the connection open on failure, so that the error answer can be sent. */
export async function readBody (request: ListenerRequest, maxBytes: number): Promise<Result<Buffer, Failure>> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0)
  if (declaredBytes > maxBytes) return err(bodyTooLarge(maxBytes))
  const chunks: Buffer[] = []
  let size = 0
  try {
    // By default, leaving the loop early destroys the connection that the error answer is sent on.
    for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > maxBytes) return err(bodyTooLarge(maxBytes))
      chunks.push(chunk)
    }
  } catch {
    return err(createFailure(ResultCode.Canceled, 'the caller disconnected while sending the body', { ran: 'no' }))
  }
  return ok(Buffer.concat(chunks, size))
}

function bodyTooLarge (maxBytes: number): Failure {
  return createFailure(ResultCode.BodyTooLarge, `the body exceeds ${maxBytes} bytes`)
}
