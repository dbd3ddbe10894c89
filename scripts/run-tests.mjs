/**
 * Runs the tests of every package with tap, prints the failures and one closing line.
 * Failures listed in KNOWN-RED.txt are printed and passed over; any other fails the run.
 */
import { spawn } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { createInterface } from 'node:readline'

const ENTRY = /^test:\s*(.+)$/

function readKnownRed () {
  const lines = readFileSync(new URL('../KNOWN-RED.txt', import.meta.url), 'utf8').split('\n')
  return lines.flatMap((line) => ENTRY.exec(line)?.[1]?.trim() ?? [])
}

/** Shortens packages/NAME/dist/FILE to NAME/FILE. */
function shortName (name) {
  return name.replace(/^packages\/(.+)\/dist\//, '$1/')
}

/** Full name of a TAP line: its file and the subtests around it. */
function createNameTracker () {
  const stack = []
  return (line) => {
    const depth = Math.floor(line.search(/\S/) / 4)
    const subtest = /^\s*# Subtest: (.+)$/.exec(line)
    if (subtest) stack.splice(depth, stack.length, subtest[1])
    return stack.slice(0, depth).map(shortName)
  }
}

const knownRed = readKnownRed()
const tap = spawn(process.execPath, ['node_modules/tap/dist/esm/run.mjs', '--reporter=tap', ...process.argv.slice(2)]
  .filter((argument) => argument !== ''), { stdio: ['ignore', 'pipe', 'inherit'] })
let passed = 0
const failed = []
let detail = 0
const trackName = createNameTracker()

createInterface({ input: tap.stdout }).on('line', (line) => {
  const names = trackName(line)
  const point = /^(\s*)(not )?ok \d+ - (.*?)(?: # time=\S+)?( \{)?$/.exec(line)
  const leaf = point && names.length === 1
  if (leaf && point[2] === undefined) passed += 1
  if (leaf && point[2] !== undefined) failed.push([...names, point[3]].join(' > '))
  const wholeFile = point && names.length === 0
  if (wholeFile && point[2] !== undefined && !failed.some((name) => name.startsWith(shortName(point[3])))) {
    failed.push(shortName(point[3]))
  }
  if (point) detail = point[2] === undefined ? 0 : 40
  if (point?.[2] !== undefined || detail-- > 0) console.log(line)
})

tap.on('close', (code) => {
  const isKnown = (name) => knownRed.includes(name)
  const fresh = failed.filter((name) => !isKnown(name))
  for (const name of failed.filter(isKnown)) console.log(`known red: ${name}`)
  for (const name of fresh) console.log(`FAILED: ${name}`)
  const broken = code !== 0 && failed.length === 0
  if (broken) console.log(`tap ended with code ${code} without naming a failed test`)
  console.log(`${passed} passed, ${failed.length} failed`)
  process.exitCode = fresh.length > 0 || broken || passed === 0 ? 1 : 0
})
