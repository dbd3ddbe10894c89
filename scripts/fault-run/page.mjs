/** Writes measurements into sections of docs/MEASUREMENTS.md. */
import { readFile, writeFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import { PROMISES } from './record.mjs'

const PAGE = fileURLToPath(new URL('../../docs/MEASUREMENTS.md', import.meta.url))

/** Replaces the text between the markers of a section; appends the section if the page lacks it. */
export async function writeSection (name, body) {
  const [open, close] = [`<!-- bench:${name} -->`, `<!-- /bench:${name} -->`]
  const page = await readFile(PAGE, 'utf8')
  const section = `${open}\n${body.trim()}\n${close}`
  const [from, to] = [page.indexOf(open), page.indexOf(close)]
  const next = from < 0 ? `${page.trimEnd()}\n\n${section}\n` : page.slice(0, from) + section + page.slice(to + close.length)
  await writeFile(PAGE, next)
}

/** Renders the section about runs with faults; one column per run. */
export function faultSection (reports) {
  const row = (title, valueOf) => `| ${title} | ${reports.map(valueOf).join(' | ')} |`
  const times = ({ count, median, worst }) => count === 0 ? 'none seen' : `${median} / ${worst} ms (${count})`
  const list = (counts) => Object.entries(counts).map(([name, count]) => `${name}: ${count}`).join('; ') || 'none'
  const log = ({ appendsPerHostMinute, bytesPerHostMinute }) => `${appendsPerHostMinute} appends, ${bytesPerHostMinute} bytes`
  return `## Processes killed, frozen and cut under load (\`node scripts/fault-run.mjs --seconds 120 --seed N\`)

Three entry hosts and three engines (one that ignores fencing numbers), each a process on loopback; log, host list and
service share one more. Times are median / worst (count); at 120 s a run sees few takeovers. Promises broken, 0 asked:

${row('seed', ({ seed }) => seed)}
| --- |${reports.map(() => ' --- |').join('')}
${Object.entries(PROMISES).map(([number, text]) => row(`${number} ${text}`, ({ broken }) => broken[number])).join('\n')}
${row('requests sent, repeats included', ({ requestsSent }) => requestsSent)}
${row('answers to callers', ({ answers }) => list(answers))}
${row('errors on the way, by code', ({ errors }) => list(errors))}
${row('faults set', ({ faults }) => list(faults))}
${row('publications', ({ publications }) => list(publications))}
${row('takeover of the cell\'s lease after the holder was killed', ({ takeoverMs }) => times(takeoverMs))}
${row('configuration in force at a live host, against 11 s', ({ inForceMs }) => Object.entries(inForceMs).sort().map(([host, one]) => `${host}: ${times(one)}`).join('; '))}
${row('log per host and minute at rest', (report) => log(report.log.atRest))}
${row('log per host and minute in the run, claims of bookings included', (report) => log(report.log.underChange))}`
}
