/** Runners as the platform lists them, and as they report their own state. */
import type { Position } from '../eras/position.js'

/** A model that a runner holds, with its adapters. */
export type ResidentModel = { name: string, version: number, adapters: string[] }

/** A runner's entry in the platform's list. */
export type RunnerEntry = {
  /** In most cases identifies one process of a runner; see `startedUnixMs`. */
  id: string
  service: string
  /** IP:PORT. */
  address: string
  availabilityZone: string
  /** Version of the runner's software, not of weights; absent if its entry states none. */
  softwareVersion?: string
  slots: number
  draining: boolean
  /** Unix time of its start; absent if the runner doesn't state it. A different time with the same id means a new process. */
  startedUnixMs?: number
  /** Time after which a draining runner stops, even with requests in progress. */
  remainingMs?: number
  models: ResidentModel[]
  /** Names of models whose weights are in the runner's memory or on its disk. */
  localWeights: string[]
  /** Orders that the runner has accepted since its start; absent for plain services. */
  acceptedOrders?: number
}

/** State that a runner reports when polled. Values lag by a few hundred milliseconds. */
export type RunnerReport = {
  models: ResidentModel[]
  /** Adapters whose loading is in progress. */
  coming: { model: string, adapter: string }[]
  /** A model is being loaded or unloaded. */
  busy: boolean
  acceptedOrders: number
  running: number
  queued: number
  startedUnixMs?: number
}

/** The latest record of a runner's entry in the platform's list. */
export type RunnerRecord = {
  id: string
  /** Position of the record in the platform's history: the same on all hosts, however they received the record. */
  position: Position
  /** Absent: the runner left the list. */
  entry?: RunnerEntry
}

/** An update of the list of runners, as read from the platform or as forwarded by another host. */
export type RunnerListUpdate = {
  /** Changes since this position; absent: the whole list. */
  since?: Position
  /** The update takes all records before this position into account. */
  to: Position
  records: RunnerRecord[]
  /** The update takes all records into account that the platform had this long ago; absent if that isn't known. */
  ageMs?: number
}
