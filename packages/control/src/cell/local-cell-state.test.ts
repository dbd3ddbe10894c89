import t from 'tap'
import { ManualClock } from '@figloom/runtime'
import { claimBy, copyOf, foldOf, hostA, hostB, observedOf, reportOf } from './cell-fixtures.js'
import { LocalCellState } from './local-cell-state.js'
import type { CellState } from './state.js'

const STALE_REPORT_MS = 15_000

/** A host that received a report of `r1` with model `old` when it had read the stream up to `readOffset`. */
function createLocalState (readOffset: number): LocalCellState {
  const localState = LocalCellState.create({ clock: ManualClock.create(), cell: 'c', staleReportMs: STALE_REPORT_MS })
  localState.tracker.noteReadPosition(readOffset, -10)
  localState.tracker.addReport('r1', reportOf({ copies: [copyOf('old')] }), 0, 0, [])
  return localState
}

function modelsShown (localState: LocalCellState, state: CellState): string[] {
  const { runners } = localState.viewOf(state, { isHolder: false, logReachable: true }, () => false)
  return runners.flatMap(({ copies }) => copies.map(({ model }) => model))
}

/** The stream after `host-b` took over the lease and recorded model `new` on the runner. */
function stateAfterTakeover (asOfOffset: number): CellState {
  const settled = { kind: 'settled', claim: 2, intents: [], observed: observedOf('r1', 'i1', asOfOffset, [copyOf('new')]) }
  return foldOf([claimBy(hostA, 0), claimBy(hostB, 1), settled])
}

t.test('a former holder prefers the stream to its own earlier report', async (t) => {
  t.same(modelsShown(createLocalState(1), stateAfterTakeover(2)), ['new'])
})

t.test('own report is shown while the stream has no later one', async (t) => {
  t.same(modelsShown(createLocalState(3), stateAfterTakeover(2)), ['old'])
})
