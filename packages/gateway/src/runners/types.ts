/** Runners as the platform lists them and as they report on themselves. */

/** A model that a runner holds, with its adapters. */
export type ResidentModel = { name: string, version: number, adapters: string[] }

/** A runner's entry in the platform's list. */
export type RunnerEntry = {
  /** Names one start of a runner, in most cases; see `startedUnixMs`. */
  id: string
  service: string
  /** IP:PORT. */
  address: string
  availabilityZone: string
  slots: number
  draining: boolean
  /** Unix time of its start; absent where the runner doesn't say. A new one under the same id is a new process. */
  startedUnixMs?: number
  /** Time after which a draining runner is gone, whatever it works on. */
  remainingMs?: number
  models: ResidentModel[]
  /** Names of models whose weights lie in the runner's memory or on its disk. */
  localWeights: string[]
  /** Orders that the runner has accepted since its start; absent for plain services. */
  acceptedOrders?: number
}

/** What a runner says of itself when asked. Values lag by some hundred milliseconds. */
export type RunnerReport = {
  models: ResidentModel[]
  /** Adapters on their way. */
  coming: { model: string, adapter: string }[]
  /** A model is being loaded or unloaded. */
  busy: boolean
  acceptedOrders: number
  running: number
  queued: number
  startedUnixMs?: number
}

/** The newest record of a runner's entry in the platform's list. */
export type RunnerRecord = {
  id: string
  /** Where the record stands in the order of the platform's records: the same for all hosts, whoever reads it or passes it on. */
  position: number
  /** Absent: the runner left the list. */
  entry?: RunnerEntry
}

/** What the platform's records say of runners, as read or as passed on by another host. */
export type RunnerNews = {
  /** Changes since this position; absent: the whole list. */
  since?: number
  /** All records before this position are taken into account. */
  to: number
  records: RunnerRecord[]
  /** All records that the platform had this long ago are taken into account; absent where that isn't known. */
  ageMs?: number
}
