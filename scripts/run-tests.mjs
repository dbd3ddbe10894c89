/**
 * Runs the tests of every package with tap, then those that run apart from other load, and prints the failures and a summary line.
 * Failures listed in KNOWN-RED.txt are printed but don't fail the run; any other failure does.
 */
import { spawn } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { createInterface } from 'node:readline'

/** Tests that load a process until it meets its limits; one at a time, beside nothing else. */
const APART = ['--jobs=1', '--timeout=1200', 'platform/soak/apart/crowd.test.mjs']
const ENTRY = /^test:\s*(.+)$/

function readKnownFailures () {
  const lines = readFileSync(new URL('../KNOWN-RED.txt', import.meta.url), 'utf8').split('\n')
  return lines.flatMap((line) => ENTRY.exec(line)?.[1]?.trim() ?? [])
}

/** Shortens packages/NAME/dist/FILE to NAME/FILE. */
function shortName (name) {
  return name.replace(/^packages\/(.+)\/dist\//, '$1/')
}

/** Returns a function that takes each TAP line in turn and gives the names of its enclosing file and subtests. */
function createNameTracker () {
  const stack = []
  return (line) => {
    const depth = Math.floor(line.search(/\S/) / 4)
    const subtest = /^\s*# Subtest: (.+)$/.exec(line)
    if (subtest) stack.splice(depth, stack.length, subtest[1])
    return stack.slice(0, depth).map(shortName)
  }
}

const knownFailures = readKnownFailures()
let passed = 0
const failed = []
let detailLinesLeft = 0

/** Resolves with the exit code of tap. */
function runTap (options) {
  const tap = spawn(process.execPath, ['node_modules/tap/dist/esm/run.mjs', '--reporter=tap', ...options], { stdio: ['ignore', 'pipe', 'inherit'] })
  const trackName = createNameTracker()
  createInterface({ input: tap.stdout }).on('line', (line) => readLine(line, trackName(line)))
  return new Promise((resolve) => tap.on('close', resolve))
}

function readLine (line, names) {
  const testPoint = /^(\s*)(not )?ok \d+ - (.*?)(?: # time=\S+)?( \{)?$/.exec(line)
  const isTest = testPoint && names.length === 1
  if (isTest && testPoint[2] === undefined) passed += 1
  if (isTest && testPoint[2] !== undefined) failed.push([...names, testPoint[3]].join(' > '))
  const isFile = testPoint && names.length === 0
  if (isFile && testPoint[2] !== undefined && !failed.some((name) => name.startsWith(shortName(testPoint[3])))) {
    failed.push(shortName(testPoint[3]))
  }
  if (testPoint) detailLinesLeft = testPoint[2] === undefined ? 0 : 40
  if (testPoint?.[2] !== undefined || detailLinesLeft-- > 0) console.log(line)
}

const given = process.argv.slice(2).filter((argument) => argument !== '')
let failedOutsideTests = false
for (const options of given.length > 0 ? [given] : [[], APART]) {
  const failedBefore = failed.length
  const code = await runTap(options)
  if (code === 0 || failed.length > failedBefore) continue
  failedOutsideTests = true
  console.log(`tap ended with code ${code} without naming a failed test`)
}

const isKnown = (name) => knownFailures.includes(name)
const newFailures = failed.filter((name) => !isKnown(name))
for (const name of failed.filter(isKnown)) console.log(`known red: ${name}`)
for (const name of newFailures) console.log(`FAILED: ${name}`)
console.log(`${passed} passed, ${failed.length} failed`)
process.exitCode = newFailures.length > 0 || failedOutsideTests || passed === 0 ? 1 : 0
