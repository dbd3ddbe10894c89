/**
 * Sends requests whose bytes don't end to one gateway process, many at once, and prints its largest resident memory and how sound
 * requests beside them were answered: node scripts/memory-run.mjs --count 120 --seconds 4 [KIND ...]. Without kinds: all of them,
 * `--count` in all.
 */
import { parseArgs } from 'node:util'
import { Kind, runMemoryCase } from '../platform/soak/memory.mjs'

const { values, positionals } = parseArgs({ options: { count: { type: 'string', default: '120' }, seconds: { type: 'string', default: '4' } }, allowPositionals: true })
const kinds = positionals.length > 0 ? positionals : Object.values(Kind)
const unknown = kinds.find((kind) => !Object.values(Kind).includes(kind))
if (unknown !== undefined) throw new Error(`no such kind: ${unknown}; known: ${Object.values(Kind).join(' | ')}`)
const each = Math.ceil(Number(values.count) / kinds.length)
const counts = Object.fromEntries(kinds.map((kind) => [kind, each]))
console.log(JSON.stringify(await runMemoryCase({ counts, seconds: Number(values.seconds) })))
process.exit(0)
