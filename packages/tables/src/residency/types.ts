/** Models and adapters that are resident on the runners of a cell, and the steps of a placement plan. */

/** One version of a model. */
export type ModelKey = { model: string, version: string }

/** State of a model copy, or of an adapter, on a runner. */
export const CopyState = { Loading: 'loading', Resident: 'resident', Unloading: 'unloading' } as const
export type CopyState = (typeof CopyState)[keyof typeof CopyState]

/** An adapter of a model copy. */
export type AdapterCopy = { name: string, sizeMiB: number, state: CopyState }

/** A copy of a model on a runner. */
export type ModelCopy = ModelKey & {
  weightsMiB: number
  kvReserveMiB: number
  state: CopyState
  adapters: AdapterCopy[]
  /** Whether the outcome of an order for this copy is not known yet; the copy then does not count as the last one of its model. */
  unsettled: boolean
}

/** Phases of generation that a runner handles, if its engine can separate them. */
export const RunnerRole = { Both: 'both', Prefill: 'prefill', Decode: 'decode' } as const
export type RunnerRole = (typeof RunnerRole)[keyof typeof RunnerRole]

/** State of a runner as known to the lease holder of its cell. */
export type RunnerView = {
  name: string
  availabilityZone: string
  memoryMiB: number
  /** Memory that is not reserved in the ledger. */
  freeMiB: number
  healthy: boolean
  draining: boolean
  role: RunnerRole
  copies: ModelCopy[]
}

/** Actions that an engine can be ordered to perform. */
export const OrderAction = {
  Load: 'load',
  Unload: 'unload',
  LoadAdapter: 'load-adapter',
  UnloadAdapter: 'unload-adapter',
  SetRole: 'set-role'
} as const
export type OrderAction = (typeof OrderAction)[keyof typeof OrderAction]

/** One change of a placement plan, on one runner. The steps of a plan are sorted by urgency, most urgent first. */
export type CellStep = ModelKey & {
  action: OrderAction
  runner: string
  adapter?: string
  role?: RunnerRole
  /** Memory that the step adds, in MiB; 0 for unloads and role changes. */
  addsMiB: number
  reason: string
}
