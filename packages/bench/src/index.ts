/** Benchmarks that print JSON and write docs/MEASUREMENTS.md. */
export { runClaims } from './claims/app.js'
export { runAcceptance } from './acceptance/app.js'
