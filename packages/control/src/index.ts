/** Cells: leases, intents, memory ledger, claims, membership. */
export * from './cell/index.js'
