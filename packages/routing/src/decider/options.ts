/** Settings of the decisions that depend on the deployment. */
import { AdaptiveLimit, type ConcurrencyLimit } from '../admission/concurrency-limit.js'
import { LeastExpectedChooser, type RunnerChooser } from '../choose/choose-runner.js'

export type DeciderOptions = {
  chooser: RunnerChooser
  /** Makes the limit of a new runner. */
  createLimit: () => ConcurrencyLimit
  /** Availability zone of this host. */
  availabilityZone: string
  /** Network time to a runner of the own and of another availability zone, and back. */
  sameZoneRoundTripMs: number
  otherZoneRoundTripMs: number
  /** Part of a runner's limit that batch requests may use. */
  batchShare: number
  /** Queued requests of one route that this host keeps. */
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
