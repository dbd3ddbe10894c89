/** figloom-load: sends a described load and reports attainment. */
export * from './settings/schema.js'
export * from './settings/loopback.js'
export * from './plan/plan.js'
export * from './report/types.js'
export * from './report/format.js'
export * from './run/run-load.js'
