import { answerText } from '@figloom/standin/tokens'

/** Compares an answer that was marked as complete with the text that the stand-in engine returns for its prompt. */
export function checkCompleteAnswer (prompt: string, maxTokens: number, text: string): 'answered' | 'partial' | 'foreign' {
  const expected = answerText(prompt, maxTokens)
  if (text === expected) return 'answered'
  return expected.startsWith(text) ? 'partial' : 'foreign'
}

/** Whether the text of an answer that broke off is the beginning of the expected answer to its prompt. */
export function isExpectedPrefix (prompt: string, maxTokens: number, text: string): boolean {
  return answerText(prompt, maxTokens).startsWith(text)
}
