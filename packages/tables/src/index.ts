/** Tables of routes and pools: types, checks, acceptance rule, snapshots. */
export {}
