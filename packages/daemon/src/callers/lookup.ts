import type { Result } from 'neverthrow'
import type { Failure } from '@figloom/runtime'

/** What a caller asks for; without a model or service, any host may be returned. */
export type LookupRequest = {
  model: string | undefined
  service: string | undefined
  availabilityZone: string | undefined
  /** Distributes callers over equally suitable hosts. */
  callerKey: string | undefined
}

/** Hosts to use, in order of preference, and how long the caller may cache the answer. */
export type LookupAnswer = {
  hosts: { host: string, availabilityZone: string, url: string }[]
  ttlMs: number
  configVersion: number
}

/** Tells callers which hosts to send their requests to. */
export abstract class LookupService {
  abstract lookup (request: LookupRequest): Result<LookupAnswer, Failure>
}
