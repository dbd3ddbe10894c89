/** Which kinds of work a host may do, by what it can reach. */
import type { MembershipView } from './types.js'

/** Kinds of work. One that is not allowed is refused immediately, as not run. */
export type AllowedWork = {
  /** Requests to runners that hold a copy of the model, by the configuration of this host. */
  serve: boolean
  /** Forwarding requests of other cells to hosts of those cells. */
  forward: boolean
  /** New claims of idempotency keys. Kept answers are returned even if this is false. */
  claim: boolean
  /** New intents. An order whose intent was already read back from the log is carried out even if this is false. */
  order: boolean
  /** Edits of the configuration tables. */
  publish: boolean
  /** What this host lacks, for operators. */
  missing: ('configuration' | 'log' | 'peers')[]
}

/** Serving needs only a configuration. Work whose result depends on the order of the log's records needs the log. */
export function allowedWork (view: MembershipView, hasConfiguration: boolean): AllowedWork {
  const serving = hasConfiguration && !view.selfLeaving
  const missing: AllowedWork['missing'] = []
  if (!hasConfiguration) missing.push('configuration')
  if (!view.logReachable) missing.push('log')
  if (!view.peersReachable) missing.push('peers')
  return {
    serve: serving,
    forward: serving && view.peersReachable,
    claim: serving && view.logReachable,
    order: serving && view.logReachable,
    publish: view.logReachable,
    missing
  }
}
