/** `figloom publish FILE…`: appends an edit and reports its verdict, read back from the log. */
import { appendUntilKnown, SeededRandomSource, type LogClient } from '@figloom/clients'
import { createFailure, ResultCode, type Failure } from '@figloom/runtime'
import type { ClientSettings } from '@figloom/settings'
import {
  diffTables, foldRecord, RULE_VERSION, tablesOf,
  type ConfigState, type EditRecord, type ParsedTables, type Verdict
} from '@figloom/tables'
import type { Environment } from '../environment.js'
import { ExitCode } from '../exit-codes.js'
import { reportDone, reportFailure, reportIssues, reportUsage, type Report } from '../output/report.js'
import { readConfig, readOn, type ConfigView } from '../remote/config-reader.js'
import { completeTables, readTables } from './tables-files.js'
import { reportVerdict } from './verdict-report.js'
import { waitInForce } from './wait-in-force.js'

/** Options of `publish`. */
export type PublishOptions = {
  paths: readonly string[]
  /** Offset that the files were edited from; the present one by default. */
  baseOffset?: number
  /** The same for each repeat of one edit; a new one by default. */
  editId?: string
  /** Whether to wait until the version is in force on every host. */
  wait: boolean
}

/** First and longest delay before an append is repeated, in milliseconds. */
const APPEND_BACKOFF_MS = { firstMs: 100, maxMs: 1000 }
/** Pause before the log is read again for the verdict, in milliseconds. */
const READ_BACK_PAUSE_MS = 100

/** Publishes the files as one edit. */
export async function publish (environment: Environment, settings: ClientSettings, options: PublishOptions): Promise<Report> {
  const parsed = await readTables(options.paths)
  if (parsed.isErr()) return reportIssues(parsed.error)
  const log = environment.createLog(settings.log)
  const view = await readConfig(log, settings.log.stream, options.baseOffset)
  if (view.isErr()) return reportFailure(view.error, 'Nothing was published by this call.')
  const editId = options.editId ?? environment.ids.next()
  const publication = Publication.create(environment, settings, log, parsed.value)
  const { state } = view.value
  const known = state.edits.get(editId)
  if (known !== undefined) return publication.finish(editId, known.verdict, options.wait)
  const edit = createEdit(settings.operator.name, options, editId, parsed.value, view.value)
  if ('exitCode' in edit) return edit
  const expected = judge(state, edit)
  if (expected.kind !== 'accepted') return reportVerdict(edit.editId, expected, parsed.value)
  return publication.send(state, edit, options.wait)
}

/** The edit that turns the tables at the base into those of the files; a report if there is nothing to publish. */
function createEdit (author: string, { baseOffset }: PublishOptions, editId: string, { tables }: ParsedTables, view: ConfigView): EditRecord | Report {
  const { state, atBase } = view
  if (baseOffset !== undefined && baseOffset > state.offset) return reportUsage(`--base ${baseOffset} is after the last offset, ${state.offset}`)
  if (baseOffset !== undefined && atBase === undefined) return reportForgottenBase(baseOffset, state)
  const base = tablesOf(atBase ?? state)
  const changes = diffTables(base, completeTables(tables, base))
  if (changes.length === 0) return reportUnchanged(state)
  return { kind: 'edit', ruleVersion: RULE_VERSION, editId, author, baseOffset: baseOffset ?? state.offset, changes }
}

function reportUnchanged ({ version }: ConfigState): Report {
  return reportDone({ outcome: 'unchanged', version }, [`nothing to publish: the files equal version ${version}`])
}

function reportForgottenBase (baseOffset: number, { version, offset }: ConfigState): Report {
  const line = `base ${baseOffset} is no longer known; compare the files with version ${version} and publish them with --base ${offset}`
  return { exitCode: ExitCode.Conflict, json: { outcome: 'conflicting', rows: [], baseOffset, version, offset }, lines: [line] }
}

/** Verdict that the edit would get if it came next. */
function judge (state: ConfigState, edit: EditRecord): Verdict {
  const outcome = foldRecord(state, { offset: state.offset + 1, body: edit })
  if (outcome.kind === 'applied' && outcome.edit !== undefined) return outcome.edit.verdict
  throw new Error(`the edit was ${outcome.kind}`)
}

/** One edit on its way through the log. */
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

  /** Appends the edit until the log says that it stands, then reads its verdict back. */
  async send (state: ConfigState, edit: EditRecord, wait: boolean): Promise<Report> {
    const { clock, signal } = this.environment
    const { stream, publishTimeoutMs } = this.settings.log
    const deadlineMs = clock.monotonicMs() + publishTimeoutMs
    const backoff = { ...APPEND_BACKOFF_MS, random: SeededRandomSource.create() }
    const appended = await appendUntilKnown(this.log, clock, stream, edit.editId, edit, { deadlineMs, backoff, signal })
    const verdict = await this.#readBack(state, edit.editId, appended.isOk() ? deadlineMs : clock.monotonicMs())
    if (verdict !== undefined) return this.finish(edit.editId, verdict, wait)
    const unread = createFailure(ResultCode.LogUnavailable, 'the edit was appended, but its verdict could not be read back')
    return reportUnpublished(edit, appended.isErr() ? appended.error : unread)
  }

  /** Reports a verdict; an accepted edit may be waited for. */
  async finish (editId: string, verdict: Verdict, wait: boolean): Promise<Report> {
    const report = reportVerdict(editId, verdict, this.files)
    if (!wait || verdict.kind !== 'accepted') return report
    return waitInForce(this.environment, this.settings.daemon, verdict.version, report)
  }

  /** Reads until the edit has its verdict, at least once. */
  async #readBack (start: ConfigState, editId: string, deadlineMs: number): Promise<Verdict | undefined> {
    const { clock, signal } = this.environment
    let state = start
    for (;;) {
      const read = await readOn(this.log, this.settings.log.stream, state)
      if (read.isOk()) state = read.value
      const known = state.edits.get(editId)
      if (known !== undefined) return known.verdict
      if (signal.aborted || clock.monotonicMs() + READ_BACK_PAUSE_MS >= deadlineMs) return undefined
      await clock.sleep(READ_BACK_PAUSE_MS, signal)
    }
  }
}

function reportUnpublished ({ editId, baseOffset }: EditRecord, failure: Failure): Report {
  const hint = failure.ran === 'no'
    ? 'Nothing was published.'
    : `It may have been published. Repeat with --edit-id ${editId} --base ${baseOffset}; that is safe.`
  const report = reportFailure(failure, hint)
  return { ...report, json: { ...report.json as object, editId, baseOffset } }
}
