/** Configuration of a host: exports of the follower, of publishing and of the types that an acceptance rule implements. */
export * from './types.js'
export * from './config-follower.js'
export * from './publish.js'
export * from './tables-rule.js'
export { snapshotDelayMs, type SnapshotScheduleOptions } from '../streams/snapshot-schedule.js'
