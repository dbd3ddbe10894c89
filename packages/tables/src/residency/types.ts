/** What is resident on the runners of a cell, and the steps that change it. */

/** One version of a model. */
export type ModelKey = { model: string, version: string }

/** State of a copy of a model or of an adapter on a runner. */
export const CopyState = { Loading: 'loading', Resident: 'resident', Unloading: 'unloading' } as const
export type CopyState = (typeof CopyState)[keyof typeof CopyState]

/** An adapter on a copy. */
export type AdapterCopy = { name: string, sizeMiB: number, state: CopyState }

/** A copy of a model on a runner. */
export type ModelCopy = ModelKey & {
  weightsMiB: number
  kvReserveMiB: number
  state: CopyState
  adapters: AdapterCopy[]
  /** True while an unsettled order concerns the copy; it does not count as a last copy then. */
  unsettled: boolean
}

/** Role of a runner where its engine offers roles. */
export const RunnerRole = { Both: 'both', Prefill: 'prefill', Decode: 'decode' } as const
export type RunnerRole = (typeof RunnerRole)[keyof typeof RunnerRole]

/** A runner as the holder of the cell's lease knows it. */
export type RunnerView = {
  name: string
  availabilityZone: string
  memoryMiB: number
  /** Memory that the ledger has not given away. */
  freeMiB: number
  healthy: boolean
  draining: boolean
  role: RunnerRole
  copies: ModelCopy[]
}

/** Actions that an engine takes. */
export const OrderAction = {
  Load: 'load',
  Unload: 'unload',
  LoadAdapter: 'load-adapter',
  UnloadAdapter: 'unload-adapter',
  SetRole: 'set-role'
} as const
export type OrderAction = (typeof OrderAction)[keyof typeof OrderAction]

/** One change that a plan wants on one runner. Steps of a plan are in order of urgency. */
export type CellStep = ModelKey & {
  action: OrderAction
  runner: string
  adapter?: string
  role?: RunnerRole
  /** Memory that the step adds, in MiB; 0 for unloads and role changes. */
  addsMiB: number
  reason: string
}
