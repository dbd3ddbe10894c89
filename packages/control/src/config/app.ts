/** Configuration as a host follows it: the follower, publishing, and the types that a rule implements. */
export * from './types.js'
export * from './config-follower.js'
export * from './publish.js'
export * from './tables-rule.js'
export { snapshotDelayMs, type SnapshotScheduleOptions } from '../streams/snapshot-schedule.js'
