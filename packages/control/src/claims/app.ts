/** Claims of idempotency keys: what the daemon wires together. */
export * from './types.js'
export * from './limits.js'
export * from './gateways.js'
export * from './claim-streams.js'
export * from './key-claims.js'
export { Attempt, type ServiceAnswer } from './attempt.js'
export { ClaimState, applyClaimRecord, type ClaimStep, type JudgedClaim } from './claim-state.js'
export { ClaimStream, type ClaimStreamOptions } from './claim-stream.js'
