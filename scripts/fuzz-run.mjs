/**
 * Sends random and mutated bytes to one gateway process from everywhere that it reads, and prints unexpected errors, the exit and the
 * log lines by number: node scripts/fuzz-run.mjs --seed 1 --seconds 20
 */
import { parseArgs } from 'node:util'
import { runFuzz } from '../platform/soak/fuzz.mjs'

const { values } = parseArgs({ options: { seed: { type: 'string', default: '1' }, seconds: { type: 'string', default: '20' } } })
console.log(JSON.stringify(await runFuzz({ seed: Number(values.seed), seconds: Number(values.seconds) }), undefined, 1))
process.exit(0)
