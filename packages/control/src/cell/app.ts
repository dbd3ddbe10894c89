/** Cells: the fold of a cell's stream, its lease, the memory ledger and the task that holds the lease. */
export * from './records.js'
export * from './state.js'
export * from './snapshots.js'
export * from './lease.js'
export * from './ledger.js'
export * from './settlement.js'
