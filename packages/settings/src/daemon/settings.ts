import type { Result, ResultAsync } from 'neverthrow'
import { crossCheck } from '../schema/rules.js'
import type { ConfigIssue } from '../toml/issue.js'
import { readText, readToml } from '../toml/read.js'
import { checkDaemonRules } from './rules.js'
import { daemonSettingsSchema, type DaemonSettings } from './schema.js'

const checkedSchema = daemonSettingsSchema.check(crossCheck(checkDaemonRules))

/** Parses and checks the text of a settings file; all faults at once. `file` names it in issues. */
export function parseDaemonSettings (file: string, text: string): Result<DaemonSettings, ConfigIssue[]> {
  return readToml(file, text, checkedSchema).map((document) => document.value)
}

/** Reads, parses and checks a settings file. */
export function loadDaemonSettings (path: string): ResultAsync<DaemonSettings, ConfigIssue[]> {
  return readText(path).andThen((text) => parseDaemonSettings(path, text))
}
