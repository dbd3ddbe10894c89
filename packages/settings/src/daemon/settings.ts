import type { Result, ResultAsync } from 'neverthrow'
import { crossCheck } from '../schema/cross-check.js'
import type { ConfigIssue } from '../toml/issue.js'
import { readText, readToml } from '../toml/read.js'
import { checkDaemonConstraints } from './constraints.js'
import { daemonSettingsSchema, type DaemonSettings } from './schema.js'

const checkedSchema = daemonSettingsSchema.check(crossCheck(checkDaemonConstraints))

/** Parses and validates the text of a settings file and reports all issues at once. `file` is its name in issues. */
export function parseDaemonSettings (file: string, text: string): Result<DaemonSettings, ConfigIssue[]> {
  return readToml(file, text, checkedSchema).map((document) => document.value)
}

/** Reads, parses and validates a settings file. */
export function loadDaemonSettings (path: string): ResultAsync<DaemonSettings, ConfigIssue[]> {
  return readText(path).andThen((text) => parseDaemonSettings(path, text))
}
