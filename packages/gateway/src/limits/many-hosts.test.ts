import t from 'tap'
import { checkLimitIsSharedAndUsed } from './testing/checked-fleet.js'

// Simulating hundreds of hosts in one process is slow.
t.setTimeout(280_000)

/** Number of hosts, and the limit that they share. */
const CASES = [[80, 0.1], [80, 1], [80, 10], [80, 100], [300, 1]] as const

for (const [hosts, limitPerS] of CASES) {
  t.test(`${hosts} hosts together respect a limit of ${limitPerS} a second and use it`, (t) => checkLimitIsSharedAndUsed(t, hosts, limitPerS))
}
