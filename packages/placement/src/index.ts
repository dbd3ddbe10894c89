/** What is resident where: pure planning. */
export * from './types.js'
export * from './forecast/demand-forecast.js'
export * from './plan/plan-cell.js'
