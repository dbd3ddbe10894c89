/**
 * The deterministic tokens of the engine stand-in. Both the stand-in and the load generator use them, so that a foreign
 * or partial answer can be told from the caller's own.
 */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Tokens of an answer where the request names no `max_tokens`. */
export const DEFAULT_MAX_TOKENS = 16

/** A message of the chat-completions form. */
export type ChatMessage = { role: string, content: string }

/** Returns the text that an answer's tokens are derived from. */
export function toPrompt (messages: readonly ChatMessage[]): string {
  return messages.map(({ role, content }) => `${role}: ${content}`).join('\n')
}

/** Returns the function that gives token number `index`, from 0, of the answer to a prompt. */
export function tokensOf (prompt: string): (index: number) => string {
  const promptHash = hashText(prompt)
  return (index) => hashText(`${promptHash}:${index}`) + ' '
}

/** Returns token number `index`, from 0, of the answer to a prompt. */
export function tokenAt (prompt: string, index: number): string {
  return tokensOf(prompt)(index)
}

/** Returns the tokens `from` (included) to `to` (excluded) of an answer as one text. */
export function answerText (prompt: string, to: number, from = 0): string {
  const tokenOf = tokensOf(prompt)
  let text = ''
  for (let index = from; index < to; index += 1) text += tokenOf(index)
  return text
}

/** Hash of a text as eight hexadecimal digits (FNV-1a, 32 bits). */
export function hashText (text: string): string {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  return (hash >>> 0).toString(16).padStart(8, '0')
}
