/** Clients of the platform: log, host list, engines, plain services. */
export * from './log/types.js'
export * from './engines/types.js'
export * from './hosts/types.js'
