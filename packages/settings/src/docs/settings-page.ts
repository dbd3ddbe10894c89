/** Generates the page docs/SETTINGS.md from the schemas. */
import { clientSettingsSchema } from '../client/settings.js'
import { daemonSettingsSchema } from '../daemon/schema.js'
import { describeSettings, type SettingRow, type SettingSection } from '../schema/describe.js'

const INTRODUCTION = `# Settings

Settings are TOML files. All errors in a file are reported at once, each with file, line, column and key, before any
listener opens: unknown keys, wrong types and units, and violated constraints between keys. No setting is read from the
environment. Field names have their unit as a suffix.

This page is generated from the schemas by \`npm run docs -w @figloom/settings\`; a test fails if it differs from them.
`

/** Renders the page as Markdown. */
export function renderSettingsPage (): string {
  return [
    INTRODUCTION,
    '## figloomd\n',
    ...describeSettings(daemonSettingsSchema).map(renderSection),
    '## figloom\n\nThe command line reads `figloom.toml` in the working directory, or the file that `--settings` names.\n',
    ...describeSettings(clientSettingsSchema).map(renderSection)
  ].join('\n')
}

function renderSection ({ name, meaning, rows }: SettingSection): string {
  return [
    `### [${name}]\n`,
    `${meaning}\n`,
    '| key | type | unit | default | meaning |',
    '| --- | --- | --- | --- | --- |',
    ...rows.map(renderRow),
    ''
  ].join('\n')
}

function renderRow ({ key, type, unit, defaultValue, meaning }: SettingRow): string {
  return `| \`${key}\` | ${type} | ${unit} | ${defaultValue} | ${meaning} |`
}
