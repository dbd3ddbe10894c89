/** Tables of routes and pools: types, checks, acceptance rule, snapshots. */
export * from './types.js'
export * from './residency/types.js'
