/**
 * Deterministic tokens of the simulated engine. The load generator derives the same tokens from its prompt, so that it can
 * detect an answer that belongs to another request or is incomplete.
 */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Length of an answer if the request sets no limit. */
export const DEFAULT_MAX_TOKENS = 16

/** A message of a chat completion request. */
export type ChatMessage = { role: string, content: string }

/** Returns the prompt text, from which the tokens of the answer are derived. */
export function toPrompt (messages: readonly ChatMessage[]): string {
  return messages.map(({ role, content }) => `${role}: ${content}`).join('\n')
}

/** Returns a function that computes the token at an index, from 0, of the answer to a prompt. */
export function createTokenGenerator (prompt: string): (index: number) => string {
  const promptHash = hashText(prompt)
  return (index) => hashText(`${promptHash}:${index}`) + ' '
}

/** Returns the token at `index`, from 0, of the answer to a prompt. */
export function tokenAt (prompt: string, index: number): string {
  return createTokenGenerator(prompt)(index)
}

/** Returns the tokens from `from` (inclusive) to `to` (exclusive) of the answer to a prompt as one text. */
export function answerText (prompt: string, to: number, from = 0): string {
  const generateToken = createTokenGenerator(prompt)
  let text = ''
  for (let index = from; index < to; index += 1) text += generateToken(index)
  return text
}

/** Returns the 32-bit FNV-1a hash of a text as eight hexadecimal digits. */
export function hashText (text: string): string {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  return (hash >>> 0).toString(16).padStart(8, '0')
}
