import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'

const CHARACTERS_PER_TOKEN = 4

const contentSchema = z.union([z.string(), z.array(z.looseObject({ text: z.string().optional() })), z.null()])

const chatSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string(), content: contentSchema.optional() })).min(1),
  stream: z.boolean().nullish()
})

/** Body of a chat-completions request; fields that figloom does not need are passed on unchanged. */
export type ChatBody = z.infer<typeof chatSchema>

/** Parses the body of a generation request. */
export function parseChatBody (body: Buffer): Result<ChatBody, Failure> {
  let value: unknown
  try {
    value = JSON.parse(body.toString('utf8'))
  } catch {
    return err(createFailure(ResultCode.MalformedRequest, 'the body is not valid JSON'))
  }
  const parsed = chatSchema.safeParse(value)
  if (parsed.success) return ok(parsed.data)
  const issue = parsed.error.issues[0]
  return err(createFailure(ResultCode.MalformedRequest, `${issue?.path.join('.') || 'body'}: ${issue?.message ?? 'invalid'}`))
}

/** Text of the prompt that prefix hashes are computed from, starting with the first message. */
export function promptText (body: ChatBody): string {
  return body.messages.map(({ role, content }) => `${role}: ${contentText(content)}`).join('\n')
}

/** Estimate of a prompt's length in tokens. */
export function estimateTokens (text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN)
}

function contentText (content: ChatBody['messages'][number]['content']): string {
  if (content === undefined || content === null) return ''
  if (typeof content === 'string') return content
  return content.map(({ text }) => text ?? '').join('')
}
