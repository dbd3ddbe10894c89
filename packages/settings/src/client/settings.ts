/** Settings of the command line for operators. */
import type { Result, ResultAsync } from 'neverthrow'
import { z } from 'zod'
import { httpUrl, milliseconds, name } from '../schema/fields.js'
import type { ConfigIssue } from '../toml/issue.js'
import { readText, readToml } from '../toml/read.js'

const operator = z.strictObject({
  name: name('Author of published edits, shown to others on a conflict.')
})

const log = z.strictObject({
  url: httpUrl('Base URL of the platform\'s log service.'),
  stream: name('Stream of the log that holds the configuration.').default('config'),
  timeoutMs: milliseconds(2000, 'Timeout of one call to the log service.'),
  publishTimeoutMs: milliseconds(10_000, 'Timeout for appending an edit and reading its verdict.')
})

const daemon = z.strictObject({
  operatorUrls: z.array(httpUrl('')).min(1, 'must name at least one URL').describe('Operator URLs of some daemons; the first one that responds is used.'),
  timeoutMs: milliseconds(2000, 'Timeout of one call to a daemon.'),
  inForceTimeoutMs: milliseconds(15_000, 'Longest time that publish --wait waits for a version to be in force on every host.'),
  pollMs: milliseconds(500, 'Time between two polls by publish --wait and watch.')
})

/** Schema of the command line's settings file. */
export const clientSettingsSchema = z.strictObject({
  operator: operator.describe('The operator.'),
  log: log.describe('Log service, for publish and diff.'),
  daemon: daemon.describe('Daemons, for status, explain, drain and watch.')
})

/** Settings of the command line with all defaults filled in. */
export type ClientSettings = z.output<typeof clientSettingsSchema>

/** Parses and validates the text of a settings file and reports all issues at once. `file` is its name in issues. */
export function parseClientSettings (file: string, text: string): Result<ClientSettings, ConfigIssue[]> {
  return readToml(file, text, clientSettingsSchema).map((document) => document.value)
}

/** Reads, parses and validates a settings file. */
export function loadClientSettings (path: string): ResultAsync<ClientSettings, ConfigIssue[]> {
  return readText(path).andThen((text) => parseClientSettings(path, text))
}
