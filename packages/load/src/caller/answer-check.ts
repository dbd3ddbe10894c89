import { answerText } from '@figloom/standin/tokens'

/** Compares the text of an answer that was told as complete with the one that its prompt must get. */
export function checkWhole (prompt: string, maxTokens: number, text: string): 'answered' | 'partial' | 'foreign' {
  const expected = answerText(prompt, maxTokens)
  if (text === expected) return 'answered'
  return expected.startsWith(text) ? 'partial' : 'foreign'
}

/** Whether the text of an answer that broke off belongs to its prompt as far as it goes. */
export function isOwnPart (prompt: string, maxTokens: number, text: string): boolean {
  return answerText(prompt, maxTokens).startsWith(text)
}
