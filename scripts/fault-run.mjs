/**
 * Runs hosts and stand-ins as processes under load, injects faults (crashes, frozen processes, broken connections), and counts
 * violations of the promises in fault-run/record.mjs.
 * `node scripts/fault-run.mjs [--seconds 120] [--seed 1] [--out FILE [--page]] [--verbose]`; prints the report as JSON; exit
 * code 1 if a promise was broken. `--out` appends the report to a file, `--page` writes all reports of that file to
 * docs/MEASUREMENTS.md, `--verbose` prints the logs of the processes.
 */
import { appendFile, readFile } from 'node:fs/promises'
import { parseArgs } from 'node:util'
import { runFaults } from './fault-run/app.mjs'
import { faultSection, writeSection } from './fault-run/page.mjs'

const { values } = parseArgs({
  options: {
    seconds: { type: 'string', default: '120' },
    seed: { type: 'string', default: '1' },
    out: { type: 'string' },
    page: { type: 'boolean', default: false },
    verbose: { type: 'boolean', default: false }
  }
})

const report = await runFaults({ seed: Number(values.seed), seconds: Number(values.seconds), log: values.verbose ? 'inherit' : 'ignore' })
console.log(JSON.stringify(report, null, 2))
if (values.out !== undefined) await appendFile(values.out, JSON.stringify(report) + '\n')
if (values.out !== undefined && values.page) {
  const lines = (await readFile(values.out, 'utf8')).trim().split('\n')
  await writeSection('faults', faultSection(lines.map((line) => JSON.parse(line))))
}
process.exitCode = report.brokenTotal === 0 ? 0 : 1
