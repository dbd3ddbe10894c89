import type { ModelRoute, Route, ServiceRoute } from '@figloom/tables'
import type { CellRouter } from '../cells/cell-router.js'

/** Another host that serves a cell. */
export type CellPeer = { host: string, availabilityZone: string, innerUrl: string }

/** Looks up routes, and where their requests can be served, in the configuration in force and among the live hosts. */
export abstract class Directory {
  /** Offset of the configuration in force; 0 when there is none yet. */
  abstract get configVersion (): number

  abstract get routes (): readonly Route[]

  abstract findModel (name: string): ModelRoute | undefined

  /**
   * Route that requests for a model follow at present: the one in force or, until a runner of this host's cell serves
   * its target, the one that it replaced.
   */
  abstract servingModel (name: string): ModelRoute | undefined

  /** Finds a plain service by the name of its route. */
  abstract findService (name: string): ServiceRoute | undefined

  /** Router of the pool's cell if this host serves the cell and knows which models are resident on its runners. */
  abstract routerOf (pool: string): CellRouter | undefined

  /** Other hosts that serve the pool's cell, in order of preference. */
  abstract peersOf (pool: string): CellPeer[]
}
