/**
 * Replays recorded sessions under rule version 1. The files are the contract between releases: a change of a verdict, of
 * an issue text or of a snapshot's bytes needs a new rule version with new files; these files never change.
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

function withoutState (outcome: FoldOutcome): unknown {
  return outcome.kind === 'applied' ? { ...outcome, state: undefined } : outcome
}

for (const file of readdirSync(FOLDER).sort()) {
  t.test(file, async (t) => {
    const session = JSON.parse(readFileSync(new URL(file, FOLDER), 'utf8')) as Session
    let state = createConfigState()
    for (const [index, { body, outcome: expected }] of session.records.entries()) {
      const outcome = foldRecord(state, { offset: state.offset + 1, body })
      if (outcome.kind === 'applied') state = outcome.state
      t.strictSame(JSON.parse(JSON.stringify(withoutState(outcome))), expected, `record ${index + 1}`)
    }
    t.strictSame({ version: state.version, tables: tablesOf(state) }, { version: session.final.version, tables: session.final.tables })
    t.equal(encodeSnapshot(state), JSON.stringify(session.final.snapshot))
  })
}
