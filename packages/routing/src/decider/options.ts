/** Options of the route decider that depend on the deployment. */
import { AdaptiveLimit, type ConcurrencyLimit } from '../admission/concurrency-limit.js'
import { LeastExpectedChooser, type RunnerChooser } from '../choose/choose-runner.js'

export type DeciderOptions = {
  chooser: RunnerChooser
  /** Creates the concurrency limit of a new runner, or of a new copy on a runner. */
  createLimit: () => ConcurrencyLimit
  /** Availability zone of this host. */
  availabilityZone: string
  /** Network round-trip time to a runner in this host's availability zone, and in another one. */
  sameZoneRoundTripMs: number
  otherZoneRoundTripMs: number
  /** Fraction of a runner's limit that batch requests may use. */
  batchShare: number
  /** Maximum number of queued requests of one route on this host. */
  maxWaitingPerRoute: number
}

export const DEFAULT_DECIDER_OPTIONS: DeciderOptions = {
  chooser: LeastExpectedChooser.create(),
  createLimit: AdaptiveLimit.create,
  availabilityZone: '',
  sameZoneRoundTripMs: 0.2,
  otherZoneRoundTripMs: 3,
  batchShare: 0.5,
  maxWaitingPerRoute: 256
}
