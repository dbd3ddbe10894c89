import type { ReportedCopy } from '@figloom/clients'

/** Settings of one engine stand-in. */
export type EngineConfig = {
  runner: string
  memoryMiB: number
  /** Refuses orders whose fencing number is lower than one seen before; otherwise ignores the numbers. */
  checksFencing: boolean
  /** Name of the process; another one after a restart. */
  instance: string
  role: string
  /** Attempts that run at once; the rest queue. */
  slots: number
  firstTokenMs: number
  /** Prefill of one prompt token that the prefix cache does not hold. */
  prefillTokenMs: number
  tokenMs: number
  /** Load of a model at the store's full speed. */
  loadMs: number
  unloadMs: number
  adapterLoadMs: number
  roleChangeMs: number
  /** How old a report may get before it is taken anew. */
  reportLagMs: number
  /** Prefixes that the cache holds. */
  cachedPrefixes: number
  /** KV memory of one running attempt, for the report. */
  kvAttemptMiB: number
  /** Resident from the start. */
  copies: InitialCopy[]
}

/** A copy that is resident from the start. */
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

/** Faults of an engine. Counts say how many of the coming calls are hit; 0 for none. */
export type EngineFaults = {
  /** Nothing proceeds and nothing is answered until it is switched off. */
  frozen: boolean
  /** Every call is cut off before it has an effect. */
  down: boolean
  /** Added to the time of each token, also the first, in milliseconds. */
  slowTokenMs: number
  /** Orders that never arrive. */
  loseOrders: number
  /** Orders that arrive `orderDelayMs` later, also after the sender gave up. */
  delayOrders: number
  orderDelayMs: number
  /** Orders of which a second copy arrives `orderRepeatMs` later; its answer goes to nobody. */
  repeatOrders: number
  orderRepeatMs: number
  /** Orders that take effect but whose answer is lost. */
  loseOrderAnswers: number
  /** Answers to requests held back for `answerDelayMs` after the run began. */
  delayAnswers: number
  answerDelayMs: number
  /** Answers that carry another attempt's id and tokens. */
  crossAnswers: number
  /** Answers cut off after `cutAfterTokens` tokens. */
  cutAnswers: number
  cutAfterTokens: number
  /** Requests whose connection is reset before the body is read; they do not run. */
  resetBeforeRead: number
  /** Requests whose connection is reset after the body was read; they run. */
  resetAfterRead: number
  /** Cache events that are left out, so that the sequence has a gap. */
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

/** A generation to run. */
export type GenerateRequest = {
  attemptId: string
  model: string
  version?: string | undefined
  adapter?: string | undefined
  prompt: string
  /** Tokens of the whole answer, counted from 0 also when it resumes. */
  maxTokens: number
  /** First token wanted. */
  resumeFrom: number
  /** Interactive requests start before batch ones. */
  priority: 'interactive' | 'batch'
}

/** Receives the answer to a generation. */
export type GenerateSink = {
  onToken: (index: number, token: string) => void
  onEnd: () => void
  /** The model left while the request queued; it never ran. */
  onRefused: () => void
  /** It was cancelled, before or after its start. */
  onCanceled: (started: boolean) => void
  /** The engine's process is gone. */
  onCut: () => void
}
