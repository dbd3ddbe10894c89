#!/usr/bin/env node
/** Runs one benchmark: `npm run bench -- NAME`. */
import { runAcceptance } from './acceptance/app.js'
import { runCapacity } from './capacity/app.js'
import { runClaims } from './claims/app.js'
import { runDecisions } from './decisions/app.js'

const BENCHMARKS: Record<string, () => Promise<void>> = { decisions: runDecisions, capacity: runCapacity, claims: runClaims, acceptance: runAcceptance }

const name = process.argv[2] ?? ''
const run = BENCHMARKS[name]
if (run === undefined) {
  console.error(`usage: npm run bench -- ${Object.keys(BENCHMARKS).join('|')}`)
  process.exitCode = 2
} else {
  await run()
}
