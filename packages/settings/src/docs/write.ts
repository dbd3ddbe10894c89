/** Generates docs/SETTINGS.md. */
import { writeFileSync } from 'node:fs'
import { renderSettingsPage } from './settings-page.js'

writeFileSync(new URL('../../../../docs/SETTINGS.md', import.meta.url), renderSettingsPage())
