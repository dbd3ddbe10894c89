/**
 * Opens connections that send nothing to one gateway process with few descriptors, and prints how sound requests beside them were
 * answered: node scripts/descriptor-run.mjs --fds 1000 --silent 1500 --seconds 3 [--untold].
 */
import { parseArgs } from 'node:util'
import { runDescriptorCase } from '../platform/soak/descriptors.mjs'

const { values } = parseArgs({ options: { fds: { type: 'string', default: '1000' }, silent: { type: 'string', default: '1500' }, seconds: { type: 'string', default: '3' }, untold: { type: 'boolean', default: false } } })
console.log(JSON.stringify(await runDescriptorCase({ maxFds: Number(values.fds), silent: Number(values.silent), seconds: Number(values.seconds), told: !values.untold })))
process.exit(0)
