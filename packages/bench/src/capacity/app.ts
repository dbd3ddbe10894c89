/** Benchmark `capacity`: measures how costs grow with size and writes the tables of docs/CAPACITY.md. */
import { readFile, writeFile } from 'node:fs/promises'
import { measureBatching, measureKeys } from '../claims/app.js'
import { renderCapacity } from './page.js'
import { controlRoles, dataPath, logAppends, sumRoles, type Slopes } from './roles.js'
import { KEYED_PER_SECOND } from './size.js'
import { measureCell } from './slopes/cell.js'
import { measureConfiguration } from './slopes/configuration.js'
import { measureDaemon } from './slopes/daemon.js'
import { measureMembership } from './slopes/membership.js'
import { CLAIM_STREAM_COUNT } from '@figloom/control'

const PAGE = new URL('../../../../docs/CAPACITY.md', import.meta.url)
const SECTION_START = '<!-- bench:capacity -->'
const SECTION_END = '<!-- /bench:capacity -->'
const BATCH_WINDOW_MS = 25

export async function runCapacity (): Promise<void> {
  const slopes: Slopes = {
    membership: measureMembership(),
    configuration: measureConfiguration(),
    cell: await measureCell(),
    claims: await measureClaims(),
    daemon: await measureDaemon()
  }
  const roles = controlRoles(slopes)
  console.log(JSON.stringify({ slopes, roles, sums: sumRoles(roles), appends: logAppends(slopes), dataPath: dataPath(slopes) }, null, 2))
  const page = await readFile(PAGE, 'utf8')
  const before = page.slice(0, page.indexOf(SECTION_START) + SECTION_START.length)
  await writeFile(PAGE, `${before}\n${renderCapacity(slopes)}\n${page.slice(page.indexOf(SECTION_END))}`)
}

async function measureClaims (): Promise<Slopes['claims']> {
  const batching = await measureBatching(KEYED_PER_SECOND / CLAIM_STREAM_COUNT, BATCH_WINDOW_MS)
  const keys = await measureKeys()
  return {
    foldUs: keys.foldMicrosecondsPerCall,
    bytesPerKey: keys.tableBytesPerKey,
    bytesPerCall: batching.logBytesPerCall,
    appendsPerSecondOfStream: batching.appendsPerSecond
  }
}
