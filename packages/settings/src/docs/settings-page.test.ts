import { readFileSync } from 'node:fs'
import t from 'tap'
import { clientSettingsSchema } from '../client/settings.js'
import { daemonSettingsSchema } from '../daemon/schema.js'
import { describeSettings } from '../schema/describe.js'
import { renderSettingsPage } from './settings-page.js'

t.test('docs/SETTINGS.md is up to date with the schemas', async (t) => {
  const page = readFileSync(new URL('../../../../docs/SETTINGS.md', import.meta.url), 'utf8')
  t.equal(page, renderSettingsPage(), 'regenerate it with npm run docs -w @figloom/settings')
})

t.test('every setting has a description and a type, and its unit and default are listed', async (t) => {
  const sections = [...describeSettings(daemonSettingsSchema), ...describeSettings(clientSettingsSchema)]
  for (const { name, meaning, rows } of sections) {
    t.ok(meaning, name)
    t.ok(rows.length > 0, name)
    for (const row of rows) t.match(row, { meaning: /\.$/, type: /^(string|integer|number|boolean|".*"|array of string)$/ }, row.key)
  }
  const rows = sections.flatMap((section) => section.rows)
  t.match(rows.find(({ key }) => key === 'lookup.ttlMs'), { unit: 'milliseconds', defaultValue: '5000', type: 'integer' })
  t.match(rows.find(({ key }) => key === 'host.name'), { unit: '', defaultValue: 'required' })
  t.match(rows.find(({ key }) => key === 'host.callerUrl'), { defaultValue: 'none' })
  t.match(rows.find(({ key }) => key === 'traces.exporter'), { type: '"none" or "json" or "otlp"', defaultValue: '"json"' })
})
