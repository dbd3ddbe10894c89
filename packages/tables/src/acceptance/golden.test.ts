/**
 * Whole sessions under rule version 1. The files are the contract between releases: one that changes a verdict, a
 * wording or a byte of a snapshot needs a new rule version and new files, and leaves these as they are.
 */
import { readdirSync, readFileSync } from 'node:fs'
import t from 'tap'
import { createConfigState, tablesOf } from './state.js'
import { encodeSnapshot, foldRecord, type FoldOutcome } from './fold.js'

const FOLDER = new URL('../../golden/', import.meta.url)

type Session = {
  about: string
  records: { body: unknown, outcome: unknown }[]
  final: { version: number, tables: unknown, snapshot: unknown }
}

function describe (outcome: FoldOutcome): unknown {
  return outcome.kind === 'applied' ? { ...outcome, state: undefined } : outcome
}

for (const file of readdirSync(FOLDER).sort()) {
  t.test(file, async (t) => {
    const session = JSON.parse(readFileSync(new URL(file, FOLDER), 'utf8')) as Session
    let state = createConfigState()
    for (const [index, { body, outcome: expected }] of session.records.entries()) {
      const outcome = foldRecord(state, { offset: state.offset + 1, body })
      if (outcome.kind === 'applied') state = outcome.state
      t.strictSame(JSON.parse(JSON.stringify(describe(outcome))), expected, `record ${index + 1}`)
    }
    t.strictSame({ version: state.version, tables: tablesOf(state) }, { version: session.final.version, tables: session.final.tables })
    t.equal(encodeSnapshot(state), JSON.stringify(session.final.snapshot))
  })
}
