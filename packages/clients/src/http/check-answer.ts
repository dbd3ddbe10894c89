import { err, ok, type Result } from 'neverthrow'
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import type { z } from 'zod'
import type { JsonAnswer, TransportError } from './json-http.js'

const OK_STATUS = 200

/** Returns the validated body of a 200 answer; any other answer is `PlatformUnavailable`. */
export function checkAnswer<T> (answer: JsonAnswer, schema: z.ZodType<T>, service: string): Result<T, Failure> {
  if (answer.status !== OK_STATUS) {
    return err(createFailure(ResultCode.PlatformUnavailable, `${service} answered with status ${answer.status}`))
  }
  const parsed = schema.safeParse(answer.body)
  if (parsed.success) return ok(parsed.data)
  return err(createFailure(ResultCode.PlatformUnavailable, `${service} answered with an unexpected body: ${parsed.error.issues[0]?.message ?? ''}`))
}

/** Converts a transport error to `PlatformUnavailable`; `ran` still tells whether the request may have been sent. */
export function toPlatformFailure (error: TransportError, service: string): Failure {
  return createFailure(ResultCode.PlatformUnavailable, `${service}: ${error.message}`, { ran: error.ran })
}
