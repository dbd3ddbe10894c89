/** Small stand-ins of the outside systems, for tests and the first run. */
export * from './log/memory-log.js'
