/** Requests from callers and answers from runners, independent of the header names on the wire. */

/** A part of a prompt, in order from its start, that other requests may share. */
export type PromptPart = { id: string, tokens: number }

/** Contents of the headers of a caller's request. */
export type CallerFacts = {
  requestId?: string
  /** How long the caller waits for the answer, counted from when it sent the request. */
  deadlineMs?: number
  model?: string
  adapter?: string
  promptTokens: number
  maxOutputTokens: number
  promptParts: PromptPart[]
  /** Id of the last event that the caller received of an interrupted stream. */
  lastEventId?: number
  /** Id of the caller's request that brought the first event of that stream. */
  continuesRequestId?: string
  /** Digest of the key that the caller shows, by which customers are found; the key itself isn't kept. */
  keyDigest?: string
}

/** What a runner is told of the caller, in place of the caller's key. */
export type ForwardedCaller = {
  /** Absent for callers that are no customer's. */
  customerName?: string
}

/** Fields that the gateway adds to a request for a runner. */
export type ForwardFields = {
  /** Time left until the answer is due. */
  deadlineMs: number
  /** The intended runner; another runner at the same address refuses the request. */
  runnerId: string
  /** Rank in the runner's queue, 0 first; the runner's default if absent. */
  urgency?: number
  lastEventId?: number
  /** Version of the weights with which a resumed stream has to continue. */
  weightsVersion?: number
  /** Absent if the configuration has no customers: the caller's headers are forwarded as they are. */
  caller?: ForwardedCaller
}

/** Whether an answer states a limit on the requests that its runner accepts. */
export const LimitSignal = {
  /** It states none. */
  None: 'none',
  Named: 'named',
  /** It states something that isn't a rate, or several rates. */
  Unreadable: 'unreadable'
} as const

/** The limit that an answer states; `requestsPerS` counts the requests of all hosts together. */
export type AnswerLimit =
  { signal: typeof LimitSignal.None } |
  { signal: typeof LimitSignal.Named, requestsPerS: number } |
  { signal: typeof LimitSignal.Unreadable, text: string }

/** Whether an answer states a time for which its runner accepts no requests from this host. */
export const PauseSignal = {
  None: 'none',
  Named: 'named',
  /** It states something that isn't a duration. */
  Unreadable: 'unreadable'
} as const

export type AnswerPause =
  { signal: typeof PauseSignal.None } |
  { signal: typeof PauseSignal.Named, pauseMs: number } |
  { signal: typeof PauseSignal.Unreadable, text: string }

/** Contents of the head of a runner's answer. */
export type AnswerFacts = {
  status: number
  requestId?: string
  /** The answer has the runner's signature. */
  signed: boolean
  /** The runner states that it did not run the request. */
  notRun: boolean
  /** The request reached another runner than the intended one, or one that doesn't hold the model. */
  misdirected: boolean
  /** Id of the runner that answered. */
  runnerId?: string
  /** The body has a content encoding that the caller didn't request. */
  encoded: boolean
  isEventStream: boolean
  weightsVersion?: number
  limit: AnswerLimit
  /** The runner fails if it has to reject more requests than this for want of room. */
  rejectionLimit: AnswerLimit
  /** The runner rejected the request for want of room, or because its time was over. */
  rejected: boolean
  /** The runner announces that it is leaving. */
  leaving: boolean
  pause: AnswerPause
  /** The runner closes the connection after this answer. */
  closes: boolean
}

/** Alternating header names and values, as Node's parsers return them. */
export type RawHeaders = string[]

/** Translates between the platform's headers and the gateway's types. */
export abstract class RequestCodec {
  abstract decodeRequest (headers: RawHeaders): CallerFacts
  /** Headers for a runner: the caller's, without hop-by-hop headers and those that only this system sets, and with `fields`. */
  abstract encodeRequest (headers: RawHeaders, fields: ForwardFields): RawHeaders
  abstract decodeAnswer (status: number, headers: RawHeaders): AnswerFacts
  /** Headers of an answer for the caller, without hop-by-hop headers. */
  abstract encodeAnswer (headers: RawHeaders): RawHeaders
}
