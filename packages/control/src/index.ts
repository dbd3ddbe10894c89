/** Cells: leases, intents, memory ledger, claims, membership. */
export * from './config/app.js'
export * from './claims/app.js'
