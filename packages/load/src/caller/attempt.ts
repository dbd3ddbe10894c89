import { isDeepStrictEqual } from 'node:util'
import { Agent, request, type Dispatcher } from 'undici'
import { z } from 'zod'
import type { Clock } from '@figloom/runtime'
import { toPrompt } from '@figloom/standin/tokens'
import type { PlannedRequest } from '../plan/plan.js'
import { ChatStreamReader, readCompleteChat } from './chat-reader.js'
import { parseJson, readErrorBody } from './error-body.js'
import type { Attempt, Ending } from './types.js'

/** Dependencies and settings that all attempts share. */
export type AttemptContext = { clock: Clock, agent: Agent, timeoutMs: number }

const OK_STATUS = 200
const CONNECT_ERRORS = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])
const echoSchema = z.object({ key: z.string().optional(), body: z.unknown() })

/** Sends a planned request once to a base URL and checks the answer. */
export async function attemptRequest (context: AttemptContext, planned: PlannedRequest, baseUrl: string): Promise<Attempt> {
  const { clock, agent, timeoutMs } = context
  const abort = new AbortController()
  const timer = clock.setTimer(timeoutMs, () => abort.abort(new Error('timeout')))
  try {
    const { url, body, headers } = planned.route.kind === 'chat' ? chatCall(planned, baseUrl) : serviceCall(planned, baseUrl)
    const answer = await request(url, {
      dispatcher: agent,
      method: 'POST',
      signal: abort.signal,
      headers: { 'content-type': 'application/json', 'figloom-deadline-ms': String(planned.route.deadlineMs), 'figloom-priority': planned.route.priority, ...headers },
      body: JSON.stringify(body)
    })
    return await readAnswer(clock, planned, answer)
  } catch (error) {
    return { ending: toEnding(error), times: { endedAtMs: clock.monotonicMs(), tokens: 0 } }
  } finally {
    timer.cancel()
  }
}

/** Messages of a planned chat request. */
export function messagesOf (planned: PlannedRequest): { role: string, content: string }[] {
  return [{ role: 'user', content: planned.prompt }]
}

function chatCall (planned: PlannedRequest, baseUrl: string) {
  const { route, stream } = planned
  const direct = route.direct === undefined
    ? { model: route.name }
    : { model: route.direct.model, figloom_version: route.direct.version, figloom_adapter: route.direct.adapter }
  const body = { ...direct, messages: messagesOf(planned), max_tokens: route.maxTokens, stream }
  return { url: `${baseUrl}/v1/chat/completions`, body, headers: {} }
}

function serviceCall (planned: PlannedRequest, baseUrl: string) {
  const path = planned.route.direct === undefined ? `/v1/services/${encodeURIComponent(planned.route.name)}/load` : '/load'
  return { url: baseUrl + path, body: serviceBody(planned), headers: planned.route.keyed ? { 'idempotency-key': keyOf(planned) } : {} }
}

/** Idempotency key of a planned service call. */
export function keyOf (planned: PlannedRequest): string {
  return `load-${planned.id}`
}

function serviceBody (planned: PlannedRequest) {
  return { id: planned.id, text: planned.prompt }
}

async function readAnswer (clock: Clock, planned: PlannedRequest, answer: Dispatcher.ResponseData): Promise<Attempt> {
  const { route, stream } = planned
  const prompt = toPrompt(messagesOf(planned))
  if (answer.statusCode === OK_STATUS && route.kind === 'chat' && stream) return readStream(clock, planned, answer)
  const text = await answer.body.text()
  if (answer.statusCode !== OK_STATUS) {
    return { ending: readErrorBody(answer.statusCode, text), times: { endedAtMs: clock.monotonicMs(), tokens: 0 } }
  }
  if (route.kind === 'chat') return readCompleteChat(clock, prompt, route.maxTokens, text)
  const replayed = answer.headers['figloom-replayed'] === 'true'
  return { ending: checkEcho(planned, text, replayed), times: { endedAtMs: clock.monotonicMs(), tokens: 0 } }
}

async function readStream (clock: Clock, planned: PlannedRequest, answer: Dispatcher.ResponseData): Promise<Attempt> {
  const reader = ChatStreamReader.create(clock, toPrompt(messagesOf(planned)), planned.route.maxTokens)
  try {
    for await (const bytes of answer.body) reader.push(bytes as Uint8Array)
    return reader.end()
  } catch (error) {
    return reader.end((error as Error).message)
  }
}

/** Checks the answer of a service stand-in, which echoes the key and the body. */
function checkEcho (planned: PlannedRequest, text: string, replayed: boolean): Ending {
  const parsed = echoSchema.safeParse(parseJson(text))
  if (!parsed.success) return { kind: 'failed', reason: 'answer of another form' }
  const key = planned.route.keyed ? keyOf(planned) : undefined
  const matches = parsed.data.key === key && isDeepStrictEqual(parsed.data.body, serviceBody(planned))
  return matches ? { kind: 'answered', replayed } : { kind: 'foreign' }
}

function toEnding (error: unknown): Ending {
  const { code, message } = error as { code?: string, message?: string }
  if (code !== undefined && CONNECT_ERRORS.has(code)) return { kind: 'unreachable' }
  return { kind: 'failed', reason: code ?? message ?? String(error) }
}
