/** What a host may still do, given what it can reach. */
import type { MembershipView } from './types.js'

/** Kinds of work; each is allowed or refused as not run, at once. */
export type AllowedWork = {
  /** Requests to runners with resident copies, under the configuration that the host has. */
  serve: boolean
  /** Requests for other cells, passed to a host there. */
  forward: boolean
  /** New claims of idempotency keys. Kept answers are still given. */
  claim: boolean
  /** New intents; orders whose intent was read back may go on. */
  order: boolean
  /** Edits of the tables. */
  publish: boolean
  /** What is out of reach, for operators. */
  missing: ('configuration' | 'log' | 'peers')[]
}

/** Serving needs a configuration and nothing else; what is decided by the log's order needs the log. */
export function allowedWork (view: MembershipView, hasConfiguration: boolean): AllowedWork {
  const open = hasConfiguration && !view.selfLeaving
  const missing: AllowedWork['missing'] = []
  if (!hasConfiguration) missing.push('configuration')
  if (!view.logReachable) missing.push('log')
  if (!view.peersReachable) missing.push('peers')
  return {
    serve: open,
    forward: open && view.peersReachable,
    claim: open && view.logReachable,
    order: open && view.logReachable,
    publish: view.logReachable,
    missing
  }
}
