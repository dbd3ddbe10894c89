import type { ReportedCopy } from '@figloom/clients'

/** Settings of one simulated engine. */
export type EngineConfig = {
  runner: string
  memoryMiB: number
  /** Whether orders with a fencing token lower than the highest one received are refused. If false, tokens are ignored. */
  checksFencing: boolean
  /** Id of the engine's process; it changes with each restart. */
  instance: string
  role: string
  /** Attempts that run concurrently; further ones are queued. */
  slots: number
  firstTokenMs: number
  /** Prefill time of each prompt token that is not in the prefix cache. */
  prefillTokenMs: number
  tokenMs: number
  /** Time to load a model at the weight store's full speed. */
  loadMs: number
  unloadMs: number
  adapterLoadMs: number
  roleChangeMs: number
  /** Age at which a cached report is replaced by a current one. */
  reportLagMs: number
  /** Capacity of the prefix cache, in prefixes. */
  cachedPrefixes: number
  /** KV cache memory that the report counts for each running attempt. */
  kvAttemptMiB: number
  /** Copies that are resident when the engine starts. */
  copies: InitialCopy[]
}

/** A copy that is resident when the engine starts. */
export type InitialCopy = Omit<ReportedCopy, 'state' | 'adapters'> & { adapters: { name: string, sizeMiB: number }[] }

export const defaultEngineConfig: EngineConfig = {
  runner: 'runner',
  memoryMiB: 81_920,
  checksFencing: true,
  instance: 'instance-1',
  role: 'both',
  slots: 16,
  firstTokenMs: 20,
  prefillTokenMs: 0,
  tokenMs: 5,
  loadMs: 500,
  unloadMs: 50,
  adapterLoadMs: 10,
  roleChangeMs: 100,
  reportLagMs: 0,
  cachedPrefixes: 64,
  kvAttemptMiB: 16,
  copies: []
}

/** Injected faults of an engine. A count is the number of upcoming calls that the fault affects; 0 disables it. */
export type EngineFaults = {
  /** The engine makes no progress and answers nothing until this is switched off. */
  frozen: boolean
  /** Every call fails without an answer and without effect. */
  down: boolean
  /** Extra time for each token, including the first, in milliseconds. */
  slowTokenMs: number
  /** Orders that are lost before they reach the engine. */
  loseOrders: number
  /** Orders that take effect `orderDelayMs` late, even if the sender has given up by then. */
  delayOrders: number
  orderDelayMs: number
  /** Orders that are delivered a second time `orderRepeatMs` later; the second answer is discarded. */
  repeatOrders: number
  orderRepeatMs: number
  /** Orders that take effect but whose answer is lost. */
  loseOrderAnswers: number
  /** Generations whose every write to the caller is delayed by `answerDelayMs`. */
  delayAnswers: number
  answerDelayMs: number
  /** Answers that carry the id and the tokens of another attempt. */
  crossAnswers: number
  /** Answers whose connection is reset after `cutAfterTokens` tokens. */
  cutAnswers: number
  cutAfterTokens: number
  /** Requests whose connection is reset before the body is read; they don't run. */
  resetBeforeRead: number
  /** Requests that run, but whose connection is reset in place of the first token. */
  resetAfterRead: number
  /** Cache events that are omitted, which leaves a gap in the sequence numbers. */
  skipCacheEvents: number
}

export const noEngineFaults: EngineFaults = {
  frozen: false,
  down: false,
  slowTokenMs: 0,
  loseOrders: 0,
  delayOrders: 0,
  orderDelayMs: 0,
  repeatOrders: 0,
  orderRepeatMs: 0,
  loseOrderAnswers: 0,
  delayAnswers: 0,
  answerDelayMs: 0,
  crossAnswers: 0,
  cutAnswers: 0,
  cutAfterTokens: 0,
  resetBeforeRead: 0,
  resetAfterRead: 0,
  skipCacheEvents: 0
}

/** A generation that the engine is asked to run. */
export type GenerateRequest = {
  attemptId: string
  model: string
  version?: string | undefined
  adapter?: string | undefined
  prompt: string
  /** Length of the complete answer in tokens, including those before `resumeFrom`. */
  maxTokens: number
  /** Index of the first token to generate; above 0 if an earlier attempt is resumed. */
  resumeFrom: number
  /** Queued interactive requests start before batch ones. */
  priority: 'interactive' | 'batch'
}

/** Receives the answer to a generation. */
export type GenerateSink = {
  onToken: (index: number, token: string) => void
  onEnd: () => void
  /** The copy is being unloaded and the request was still queued; it never ran. */
  onRefused: () => void
  /** The attempt was cancelled; `started` says whether it had begun to run. */
  onCanceled: (started: boolean) => void
  /** The engine's process ended before the answer was complete. */
  onProcessExit: () => void
}
