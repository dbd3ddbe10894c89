/** Control of a host: cells (leases, intents, memory ledger), configuration, claims of idempotency keys, membership. */
export * from './cell/app.js'
export * from './config/app.js'
export * from './claims/app.js'
export * from './membership/app.js'
export { hash32, rankByRendezvous } from './hashing/hash.js'
