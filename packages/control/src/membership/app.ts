/** Membership of hosts and health of runners: exports for the daemon. */
export * from './types.js'
export * from './membership.js'
export * from './runner-health.js'
export * from './allowed-work.js'
export * from './assignment.js'
export * from './lookup.js'
export { applyHostList, applyPeerReport, createMembershipState, isDraining, livenessOf, setDraining, viewAt } from './membership-state.js'
