/** figloom-load: generates load as configured and reports how many requests met their latency targets. */
export * from './settings/schema.js'
export * from './settings/loopback.js'
export * from './plan/plan.js'
export * from './report/types.js'
export * from './report/format.js'
export * from './run/run-load.js'
