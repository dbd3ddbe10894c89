import { randomUUID } from 'node:crypto'
import type { H3Event } from 'h3'
import { z } from 'zod'
import { readHeader } from '../http/request-helpers.js'
import { DEFAULT_MAX_TOKENS, toPrompt } from './tokens.js'
import type { GenerateRequest } from './types.js'

const contentSchema = z.union([
  z.string(),
  z.array(z.object({ type: z.string(), text: z.string().optional() })).transform((parts) => parts.map(({ text }) => text ?? '').join(''))
])

/** Fields of a chat completion request that the simulated engine uses; other fields are ignored. */
export const chatRequestSchema = z.object({
  model: z.string(),
  messages: z.array(z.object({ role: z.string(), content: contentSchema })).min(1),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().optional(),
  max_completion_tokens: z.number().int().positive().optional(),
  figloom_version: z.string().optional(),
  figloom_adapter: z.string().optional(),
  figloom_resume_from: z.number().int().nonnegative().optional()
})

/** A parsed chat completion request. */
export type ChatRequest = z.infer<typeof chatRequestSchema>

/** Converts a chat completion request to a generation. */
export function toGenerateRequest (event: H3Event, request: ChatRequest): GenerateRequest {
  return {
    attemptId: readHeader(event, 'figloom-attempt-id') ?? randomUUID(),
    model: request.model,
    version: request.figloom_version,
    adapter: request.figloom_adapter,
    prompt: toPrompt(request.messages),
    maxTokens: request.max_completion_tokens ?? request.max_tokens ?? DEFAULT_MAX_TOKENS,
    resumeFrom: request.figloom_resume_from ?? 0,
    priority: readHeader(event, 'figloom-priority') === 'batch' ? 'batch' : 'interactive'
  }
}
