/** `figloom publish FILE…`: appends an edit to the log, then reads the log back to learn whether the edit was accepted. */
import { appendUntilConfirmed, SeededRandomSource, type LogClient } from '@figloom/clients'
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import type { ClientSettings } from '@figloom/settings'
import {
  diffTables, foldRecord, RULE_VERSION, tablesOf,
  type ConfigState, type EditRecord, type ParsedTables, type Verdict
} from '@figloom/tables'
import type { Environment } from '../environment.js'
import { ExitCode } from '../exit-codes.js'
import { reportDone, reportFailure, reportIssues, reportUsage, type Report } from '../output/report.js'
import { readConfig, catchUp, type ConfigView } from '../remote/config-reader.js'
import { completeTables, readTables } from './tables-files.js'
import { reportVerdict } from './verdict-report.js'
import { waitInForce } from './wait-in-force.js'

/** Options of `publish`. */
export type PublishOptions = {
  paths: readonly string[]
  /** Offset that the files were edited from; the latest by default. */
  baseOffset?: number
  /** Id of the edit; a retry passes the same id. A new id by default. */
  editId?: string
  /** Whether to wait until the version is in force on every host. */
  wait: boolean
}

/** First and longest delay before an append is retried. */
const APPEND_BACKOFF_MS = { firstMs: 100, maxMs: 1000 }
/** Interval at which the log is polled for the verdict. */
const READ_BACK_INTERVAL_MS = 100

/** Publishes the files as one edit. */
export async function publish (environment: Environment, settings: ClientSettings, options: PublishOptions): Promise<Report> {
  const parsed = await readTables(options.paths)
  if (parsed.isErr()) return reportIssues(parsed.error)
  const log = environment.createLogClient(settings.log)
  const view = await readConfig(log, settings.log.stream, options.baseOffset)
  if (view.isErr()) return reportFailure(view.error, 'Nothing was published by this call.')
  const editId = options.editId ?? environment.ids.next()
  const publication = Publication.create(environment, settings, log, parsed.value)
  const { state } = view.value
  const known = state.edits.get(editId)
  if (known !== undefined) return publication.finish(editId, known.verdict, options.wait)
  const edit = createEdit(settings.operator.name, options, editId, parsed.value, view.value)
  if ('exitCode' in edit) return edit
  const expected = predictVerdict(state, edit)
  if (expected.kind !== 'accepted') return reportVerdict(edit.editId, expected, parsed.value)
  return publication.send(state, edit, options.wait)
}

/** The edit that turns the tables at the base offset into those of the files; a report if nothing differs or the base is unusable. */
function createEdit (author: string, { baseOffset }: PublishOptions, editId: string, { tables }: ParsedTables, view: ConfigView): EditRecord | Report {
  const { state, atBase } = view
  if (baseOffset !== undefined && baseOffset > state.offset) return reportUsage(`--base ${baseOffset} is after the last offset, ${state.offset}`)
  if (baseOffset !== undefined && atBase === undefined) return reportUnknownBase(baseOffset, state)
  const base = tablesOf(atBase ?? state)
  const changes = diffTables(base, completeTables(tables, base))
  if (changes.length === 0) return reportUnchanged(state)
  return { kind: 'edit', ruleVersion: RULE_VERSION, editId, author, baseOffset: baseOffset ?? state.offset, changes }
}

function reportUnchanged ({ version }: ConfigState): Report {
  return reportDone({ outcome: 'unchanged', version }, [`nothing to publish: the files equal version ${version}`])
}

function reportUnknownBase (baseOffset: number, { version, offset }: ConfigState): Report {
  const line = `base ${baseOffset} is no longer in the log; compare the files with version ${version} and publish them with --base ${offset}`
  return { exitCode: ExitCode.Conflict, json: { outcome: 'conflicting', rows: [], baseOffset, version, offset }, lines: [line] }
}

/** Verdict that the edit would get as the next record of the stream. */
function predictVerdict (state: ConfigState, edit: EditRecord): Verdict {
  const outcome = foldRecord(state, { offset: state.offset + 1, body: edit })
  if (outcome.kind === 'applied' && outcome.edit !== undefined) return outcome.edit.verdict
  throw new Error(`unexpected outcome of the edit: ${outcome.kind}`)
}

/** Publication of one set of files. */
class Publication {
  private constructor (
    private readonly environment: Environment,
    private readonly settings: ClientSettings,
    private readonly log: LogClient,
    private readonly files: ParsedTables
  ) {}

  static create (environment: Environment, settings: ClientSettings, log: LogClient, files: ParsedTables): Publication {
    return new Publication(environment, settings, log, files)
  }

  /** Appends the edit, with retries, until the log confirms it, then reads its verdict back. */
  async send (state: ConfigState, edit: EditRecord, wait: boolean): Promise<Report> {
    const { clock, signal } = this.environment
    const { stream, publishTimeoutMs } = this.settings.log
    const deadlineMs = clock.monotonicMs() + publishTimeoutMs
    const backoff = { ...APPEND_BACKOFF_MS, random: SeededRandomSource.create() }
    const appended = await appendUntilConfirmed(this.log, clock, stream, edit.editId, edit, { deadlineMs, backoff, signal })
    const verdict = await this.#readBack(state, edit.editId, appended.isOk() ? deadlineMs : clock.monotonicMs())
    if (verdict !== undefined) return this.finish(edit.editId, verdict, wait)
    const unread = createFailure(ResultCode.LogUnavailable, 'the edit was appended, but its verdict could not be read back')
    return reportUnpublished(edit, appended.isErr() ? appended.error : unread)
  }

  /** Reports a verdict; with `wait`, first waits until an accepted edit is in force. */
  async finish (editId: string, verdict: Verdict, wait: boolean): Promise<Report> {
    const report = reportVerdict(editId, verdict, this.files)
    if (!wait || verdict.kind !== 'accepted') return report
    return waitInForce(this.environment, this.settings.daemon, verdict.version, report)
  }

  /** Polls the log, at least once, until the edit has a verdict; undefined if there is none by the deadline. */
  async #readBack (start: ConfigState, editId: string, deadlineMs: number): Promise<Verdict | undefined> {
    const { clock, signal } = this.environment
    let state = start
    for (;;) {
      const read = await catchUp(this.log, this.settings.log.stream, state)
      if (read.isOk()) state = read.value
      const known = state.edits.get(editId)
      if (known !== undefined) return known.verdict
      if (signal.aborted || clock.monotonicMs() + READ_BACK_INTERVAL_MS >= deadlineMs) return undefined
      await clock.sleep(READ_BACK_INTERVAL_MS, signal)
    }
  }
}

function reportUnpublished ({ editId, baseOffset }: EditRecord, failure: Failure): Report {
  const hint = failure.ran === 'no'
    ? 'Nothing was published.'
    : `It may have been published. It is safe to retry with --edit-id ${editId} --base ${baseOffset}.`
  const report = reportFailure(failure, hint)
  return { ...report, json: { ...report.json as object, editId, baseOffset } }
}
