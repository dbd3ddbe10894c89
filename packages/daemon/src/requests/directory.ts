import type { ModelRoute, Route, ServiceRoute } from '@figloom/tables'
import type { CellRouter } from '../cells/cell-router.js'

/** A peer that serves a cell. */
export type CellPeer = { host: string, availabilityZone: string, innerUrl: string }

/** Where requests can go, by the configuration in force and the hosts known to be live. */
export abstract class Directory {
  /** Offset of the configuration in force; 0 when there is none yet. */
  abstract get configVersion (): number

  abstract get routes (): readonly Route[]

  abstract findModel (name: string): ModelRoute | undefined

  /**
   * The row by which requests to a model are served at present: the one in force, or the one that it replaced as long
   * as no runner of this host's cell serves the new target.
   */
  abstract servingModel (name: string): ModelRoute | undefined

  /** Finds a plain service by the name of its route. */
  abstract findService (name: string): ServiceRoute | undefined

  /** Router of the pool's cell when this host serves it and knows what its runners hold. */
  abstract routerOf (pool: string): CellRouter | undefined

  /** Other hosts that serve the pool's cell, best first. */
  abstract peersOf (pool: string): CellPeer[]
}
