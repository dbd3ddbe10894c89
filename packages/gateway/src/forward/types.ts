/** A request as callers send it and an answer as runners give it, apart from the names on the wire. */

/** A part of a prompt that other requests may share, in order. */
export type PromptPart = { id: string, tokens: number }

/** What the headers of a caller's request say. */
export type CallerFacts = {
  requestId?: string
  /** How long the caller waits, counted from its sending. */
  deadlineMs?: number
  model?: string
  adapter?: string
  promptTokens: number
  maxOutputTokens: number
  promptParts: PromptPart[]
  /** Last event that the caller has of a stream that broke off. */
  lastEventId?: number
}

/** What the gateway adds to a request that it passes on. */
export type ForwardFields = {
  /** Time left for the answer. */
  deadlineMs: number
  /** Runner that is meant; another one at the same address refuses. */
  runnerId: string
  /** Rank in the runner's queue, 0 first; absent: the runner's usual rank. */
  urgency?: number
  lastEventId?: number
  /** Weights that a resumed stream has to go on with. */
  weightsVersion?: number
}

/** What an answer says of a limit on the requests that its runner takes. */
export const LimitWord = {
  /** It names none. */
  None: 'none',
  Named: 'named',
  /** It names something that is no rate, or several. */
  Unreadable: 'unreadable'
} as const

/** The limit that an answer names; `requestsPerS` counts those of all hosts together. */
export type AnswerLimit =
  { word: typeof LimitWord.None } |
  { word: typeof LimitWord.Named, requestsPerS: number } |
  { word: typeof LimitWord.Unreadable, text: string }

/** What an answer says of a time in which its runner wants nothing from this host. */
export const PauseWord = {
  None: 'none',
  Named: 'named',
  /** It names something that is no duration. */
  Unreadable: 'unreadable'
} as const

export type AnswerPause =
  { word: typeof PauseWord.None } |
  { word: typeof PauseWord.Named, pauseMs: number } |
  { word: typeof PauseWord.Unreadable, text: string }

/** What the head of a runner's answer says. */
export type AnswerFacts = {
  status: number
  requestId?: string
  /** The runner vouches for this answer. */
  signed: boolean
  /** The runner states that it didn't run the request. */
  notRun: boolean
  /** The address belongs to another runner, or this one doesn't hold the model. */
  misdirected: boolean
  /** Id of the runner that says so. */
  runnerId?: string
  /** The body is encoded in a way that the caller didn't ask for. */
  encoded: boolean
  isEventStream: boolean
  weightsVersion?: number
  limit: AnswerLimit
  /** The runner says that it leaves. */
  leaving: boolean
  pause: AnswerPause
  /** The runner closes the connection behind this answer. */
  closes: boolean
}

/** Header names and values in turn, as Node's parsers give them. */
export type RawHeaders = string[]

/** Translates between the platform's headers and the gateway's types. */
export abstract class RequestCodec {
  abstract decodeRequest (headers: RawHeaders): CallerFacts
  /** Headers for a runner: the caller's without those of the connection and those that are the system's to set. */
  abstract encodeRequest (headers: RawHeaders, fields: ForwardFields): RawHeaders
  abstract decodeAnswer (status: number, headers: RawHeaders): AnswerFacts
  /** Headers of an answer for the caller, without those of the connection. */
  abstract encodeAnswer (headers: RawHeaders): RawHeaders
}
