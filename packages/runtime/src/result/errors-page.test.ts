import { readFile } from 'node:fs/promises'
import t from 'tap'
import { ResultCode } from './codes.js'
import { formatErrorsPage } from './errors-page.js'

t.test('the page lists the codes of the source', async (t) => {
  const page = await readFile(new URL('../../../../docs/ERRORS.md', import.meta.url), 'utf8')
  t.equal(page, formatErrorsPage(), 'write it anew with: npm run docs')
})

t.test('codes and types are unique', async (t) => {
  const entries = Object.values(ResultCode)
  t.equal(new Set(entries.map(({ code }) => code)).size, entries.length)
  t.equal(new Set(entries.map(({ type }) => type)).size, entries.length)
})
