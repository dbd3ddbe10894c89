/** The two tables that operators publish, as parsed from routes.toml and pools.toml. */

/** Priority of a request: interactive requests go before batch requests. */
export const Priority = { Interactive: 'interactive', Batch: 'batch' } as const
export type Priority = (typeof Priority)[keyof typeof Priority]

/** A route to a model; callers give its name as `model` in a request. */
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

/** A route to a plain service, which is a backend server without models. */
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

/** A model version that may be loaded in a pool, with the memory that one copy takes. */
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
  /** Whether the engine refuses orders with an outdated fencing token. */
  checksFencing: boolean
}

/** Runners of one region that serve the same models or services. */
export type Pool = {
  name: string
  region: string
  /** Weight of the cost of moving a model against meeting latency targets, 0 to 1. */
  moveWeight: number
  runners: Runner[]
  models: PoolModel[]
}

/** Both tables. */
export type Tables = { routes: Route[], pools: Pool[] }

/** Tables with the offset of the last configuration record that was applied to them. */
export type ConfigSnapshot = { offset: number, tables: Tables }
