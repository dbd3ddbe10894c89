/** Small stand-ins of the outside systems, for tests and the first run. */
export * from './log/memory-log.js'
export * from './hosts/memory-host-list.js'
export * from './engine/tokens.js'
export * from './engine/types.js'
export * from './engine/engine-core.js'
export * from './engine/memory-engines.js'
export * from './store/weight-store.js'
export * from './service/service-core.js'
