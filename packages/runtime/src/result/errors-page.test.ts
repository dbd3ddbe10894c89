import { readFile } from 'node:fs/promises'
import t from 'tap'
import { ResultCode } from './codes.js'
import { formatErrorsPage } from './errors-page.js'

t.test('docs/ERRORS.md is up to date with the result codes', async (t) => {
  const page = await readFile(new URL('../../../../docs/ERRORS.md', import.meta.url), 'utf8')
  t.equal(page, formatErrorsPage(), 'regenerate it with npm run docs')
})

t.test('codes and types are unique', async (t) => {
  const entries = Object.values(ResultCode)
  t.equal(new Set(entries.map(({ code }) => code)).size, entries.length)
  t.equal(new Set(entries.map(({ type }) => type)).size, entries.length)
})
