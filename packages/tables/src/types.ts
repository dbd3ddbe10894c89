/** Rows of the two tables that operators publish, as parsed from routes.toml and pools.toml. */

/** Priority of a request: interactive work goes before batch work. */
export const Priority = { Interactive: 'interactive', Batch: 'batch' } as const
export type Priority = (typeof Priority)[keyof typeof Priority]

/** A route to a model: what callers name as `model` in a request. */
export type ModelRoute = {
  kind: 'model'
  name: string
  model: string
  version: string
  adapter?: string
  pool: string
  firstTokenTargetMs: number
  betweenTokensTargetMs: number
  priority: Priority
}

/** A route to a plain service. */
export type ServiceRoute = {
  kind: 'service'
  name: string
  service: string
  pool: string
  answerTargetMs: number
  idempotent: boolean
}

export type Route = ModelRoute | ServiceRoute

export type Adapter = { name: string, sizeMiB: number }

/** A model version that a pool may hold, with the memory of one copy. */
export type PoolModel = {
  name: string
  version: string
  weightsMiB: number
  kvReserveMiB: number
  adapters: Adapter[]
}

/** A runner: one backend server with its accelerators. */
export type Runner = {
  name: string
  availabilityZone: string
  url: string
  accelerators: number
  memoryMiB: number
  /** Whether the engine refuses orders with an old fencing number. */
  checksFencing: boolean
}

/** Runners of one region that serve the same models or services. */
export type Pool = {
  name: string
  region: string
  /** Weight of a move against attainment, 0 to 1. */
  moveWeight: number
  runners: Runner[]
  models: PoolModel[]
}

/** Both tables at one version. */
export type Tables = { routes: Route[], pools: Pool[] }

/** Tables with the offset of the last configuration record that they contain. */
export type ConfigSnapshot = { offset: number, tables: Tables }
