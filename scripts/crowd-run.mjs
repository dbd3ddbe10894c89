/**
 * Runs one gateway process beside a crowd of callers that send ahead and read nothing, and prints what became of it:
 * node scripts/crowd-run.mjs --seconds 5 --memory-mb 350 --heap-mb 200 --descriptors 4100 [--program FILE] 'KIND=CONNECTIONS' ...
 */
import { parseArgs } from 'node:util'
import { Crowd, runCrowd } from '../platform/soak/crowd.mjs'

const text = (value) => ({ type: 'string', default: value })
const { values, positionals } = parseArgs({ options: { seconds: text('5'), 'memory-mb': text('350'), 'heap-mb': text('200'), descriptors: text('4100'), program: { type: 'string' } }, allowPositionals: true })
const crowds = Object.fromEntries(positionals.map((positional) => positional.split('=')).map(([kind, count]) => [kind, Number(count)]))
const unknown = Object.entries(crowds).find(([kind, count]) => Crowd[kind] === undefined || !(count > 0))
if (unknown !== undefined || positionals.length === 0) throw new Error(`no such crowd: ${unknown?.join('=')}; known: ${Object.values(Crowd).join(' | ')}`)
console.log(JSON.stringify(await runCrowd({ crowds, seconds: Number(values.seconds), memoryMb: Number(values['memory-mb']), heapMb: Number(values['heap-mb']), maxDescriptors: Number(values.descriptors), program: values.program })))
process.exit(0)
