#!/usr/bin/env node
/** Runs real gateway hosts on a fake platform under random faults and checks that no promise is broken. */
import meow from 'meow'
import { runSoak } from '../platform/soak/app.mjs'

const cli = meow(`
  Usage
    $ node scripts/gateway-soak.mjs [--seed N] [--seeds COUNT] [--seconds N] [--hosts N] [--releases] [--brittle] [--customers] [--other FILE] [--verbose]

  --other: the gateway's bundle of another release, which every second host runs

  Prints a line of JSON for each seed; exits with 1 if a promise was broken.
`, {
  importMeta: import.meta,
  flags: {
    seed: { type: 'number', default: 1 },
    seeds: { type: 'number', default: 1 },
    seconds: { type: 'number', default: 20 },
    hosts: { type: 'number', default: 4 },
    releases: { type: 'boolean', default: false },
    brittle: { type: 'boolean', default: false },
    customers: { type: 'boolean', default: false },
    other: { type: 'string' },
    verbose: { type: 'boolean', default: false }
  }
})

const { seed, seeds, seconds, hosts, releases, brittle, customers, other, verbose } = cli.flags
let brokenCount = 0
for (let currentSeed = seed; currentSeed < seed + seeds; currentSeed += 1) {
  const report = await runSoak({ seed: currentSeed, seconds, hostCount: hosts, releases, brittle, customers, otherProgram: other, verbose })
  brokenCount += report.broken.length
  console.log(JSON.stringify(report))
}
// Connections that were reset during the handshake may keep the process alive.
process.exit(brokenCount === 0 ? 0 : 1)
