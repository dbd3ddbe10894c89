/** `npm run bench -- decisions`: runs the replays and writes the report as page section, JSON and plots. */
import { mkdir, readFile, writeFile } from 'node:fs/promises'
import { measureCosts } from './costs.js'
import { runJobs } from './jobs.js'
import { createJobs } from './matrix.js'
import { renderPage, replaceSection } from './page.js'
import { renderPlots } from './plots.js'
import { createReport } from './report.js'

const DOCS = 'docs'
const PAGE = `${DOCS}/MEASUREMENTS.md`

export async function runDecisions (): Promise<void> {
  const costs = measureCosts()
  const report = createReport(await runJobs(createJobs()), costs)
  await mkdir(DOCS, { recursive: true })
  const page = await readFile(PAGE, 'utf8').catch(() => '# Measurements\n')
  await writeFile(PAGE, replaceSection(page, 'decisions', renderPage(report)))
  await writeFile(`${DOCS}/decisions.json`, `${JSON.stringify(report, undefined, 1)}\n`)
  await writeFile(`${DOCS}/decisions.svg`, renderPlots(report))
  console.log(JSON.stringify(report))
}
