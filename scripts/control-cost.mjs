/**
 * Measures what control costs an idle host, at several numbers of runners per cell: the difference from the same daemon with
 * `[control] enabled = false`. `node scripts/control-cost.mjs [--seconds 20] [--page]`; prints JSON.
 */
import { parseArgs } from 'node:util'
import { RUNNER_COUNTS, costSection, measureCosts } from './control-cost/app.mjs'
import { writeSection } from './fault-run/page.mjs'

const { values } = parseArgs({ options: { seconds: { type: 'string', default: '20' }, page: { type: 'boolean', default: false } } })
const costs = await measureCosts(RUNNER_COUNTS, Number(values.seconds))
console.log(JSON.stringify(costs, null, 2))
if (values.page) await writeSection('control-cost', costSection(costs, values.seconds))
