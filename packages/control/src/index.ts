/** Cells: leases, intents, memory ledger, claims, membership. */
export {}
