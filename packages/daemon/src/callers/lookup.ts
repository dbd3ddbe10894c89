import type { Result } from 'neverthrow'
import type { Failure } from '@figloom/runtime'

/** What a caller asks; without a name, any host will do. */
export type LookupRequest = {
  model: string | undefined
  service: string | undefined
  availabilityZone: string | undefined
  /** Spreads callers over equally good hosts. */
  callerKey: string | undefined
}

/** Hosts to use, the best first, and how long the caller may keep the answer. */
export type LookupAnswer = {
  hosts: { host: string, availabilityZone: string, url: string }[]
  ttlMs: number
  configVersion: number
}

/** Answers callers who ask which hosts to use. */
export abstract class LookupService {
  abstract lookup (request: LookupRequest): Result<LookupAnswer, Failure>
}
