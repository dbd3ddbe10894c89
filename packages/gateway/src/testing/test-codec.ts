/** Request codec for tests, with plain header names instead of those of the platform. */
import { LimitSignal, PauseSignal, RequestCodec, type AnswerLimit, type AnswerFacts, type AnswerPause, type CallerFacts, type ForwardFields, type RawHeaders } from '../forward/types.js'

const CONNECTION_HEADERS = ['connection', 'keep-alive', 'transfer-encoding', 'content-length']
/** Removed where the configuration has customers. */
const CALLER_HEADERS = ['key', 'customer']

export class TestCodec extends RequestCodec {
  static create (): TestCodec {
    return new TestCodec()
  }

  override decodeRequest (headers: RawHeaders): CallerFacts {
    const [model, adapter] = (valueOf(headers, 'model') ?? '').split('/')
    const deadline = valueOf(headers, 'deadline-ms')
    return {
      requestId: valueOf(headers, 'request-id'),
      deadlineMs: deadline === undefined ? undefined : Number(deadline),
      model: model === '' ? undefined : model,
      adapter,
      lastEventId: valueOf(headers, 'last-event-id') === undefined ? undefined : Number(valueOf(headers, 'last-event-id')),
      continuesRequestId: valueOf(headers, 'continues'),
      keyDigest: valueOf(headers, 'key'),
      promptTokens: 0,
      maxOutputTokens: 0,
      promptParts: (valueOf(headers, 'prompt-parts') ?? '').split(',').filter((id) => id !== '').map((id) => ({ id, tokens: 1 }))
    }
  }

  override encodeRequest (headers: RawHeaders, fields: ForwardFields): RawHeaders {
    const forwarded = fields.caller === undefined ? headers : withoutHeaders(headers, CALLER_HEADERS)
    const encoded = [...withoutHeaders(forwarded, CONNECTION_HEADERS), 'runner-id', fields.runnerId, 'left-ms', String(fields.deadlineMs)]
    if (fields.caller?.customerName !== undefined) encoded.push('customer', fields.caller.customerName)
    if (fields.lastEventId !== undefined) encoded.push('last-event-id', String(fields.lastEventId))
    return encoded
  }

  override decodeAnswer (status: number, headers: RawHeaders): AnswerFacts {
    return {
      status,
      requestId: valueOf(headers, 'request-id'),
      signed: valueOf(headers, 'signed') !== undefined,
      notRun: valueOf(headers, 'not-run') !== undefined,
      misdirected: status === 421,
      runnerId: valueOf(headers, 'runner-id'),
      encoded: valueOf(headers, 'content-encoding') !== undefined,
      isEventStream: valueOf(headers, 'content-type') === 'text/event-stream',
      limit: limitOf(valueOf(headers, 'limit-per-s')),
      rejectionLimit: limitOf(valueOf(headers, 'rejections-per-s')),
      rejected: status === 503 && valueOf(headers, 'not-run') !== undefined,
      leaving: valueOf(headers, 'leaving') !== undefined,
      pause: pauseOf(valueOf(headers, 'retry-after')),
      closes: false
    }
  }

  override encodeAnswer (headers: RawHeaders): RawHeaders {
    return withoutHeaders(headers, CONNECTION_HEADERS)
  }
}

function limitOf (value: string | undefined): AnswerLimit {
  if (value === undefined) return { signal: LimitSignal.None }
  const requestsPerS = Number(value)
  return Number.isFinite(requestsPerS) ? { signal: LimitSignal.Named, requestsPerS } : { signal: LimitSignal.Unreadable, text: value }
}

function pauseOf (seconds: string | undefined): AnswerPause {
  return seconds === undefined ? { signal: PauseSignal.None } : { signal: PauseSignal.Named, pauseMs: Number(seconds) * 1_000 }
}

function valueOf (headers: RawHeaders, name: string): string | undefined {
  const at = headers.findIndex((part, index) => index % 2 === 0 && part.toLowerCase() === name)
  return at < 0 ? undefined : headers[at + 1]
}

function withoutHeaders (headers: RawHeaders, dropped: readonly string[]): RawHeaders {
  return headers.filter((_, index) => !dropped.includes((headers[index - index % 2] ?? '').toLowerCase()))
}
