import { err, ok, type Result } from 'neverthrow'
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import type { ListenerRequest } from '../listener/http-listener.js'

/** Reads a whole body of at most `maxBytes`. The connection is left readable, so that the refusal can be sent. */
export async function readBody (request: ListenerRequest, maxBytes: number): Promise<Result<Buffer, Failure>> {
  const declared = Number(request.headers['content-length'] ?? 0)
  if (declared > maxBytes) return err(tooLarge(maxBytes))
  const chunks: Buffer[] = []
  let size = 0
  try {
    // Leaving the loop early must not cut the connection that the refusal goes out on.
    for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > maxBytes) return err(tooLarge(maxBytes))
      chunks.push(chunk)
    }
  } catch {
    return err(createFailure(ResultCode.Canceled, 'the caller went away while sending', { ran: 'no' }))
  }
  return ok(Buffer.concat(chunks, size))
}

function tooLarge (maxBytes: number): Failure {
  return createFailure(ResultCode.BodyTooLarge, `the body exceeds ${maxBytes} bytes`)
}
