/** Placement planning without I/O: which models and adapters are loaded on which runners. */
export * from './types.js'
export * from './forecast/demand-forecast.js'
export * from './plan/plan-cell.js'
