/** figloom: the command line for operators. */
export * from './app.js'
export * from './environment.js'
export * from './exit-codes.js'
export { Output, type Report } from './output/report.js'
export { readConfig, catchUp, type ConfigView } from './remote/config-reader.js'
