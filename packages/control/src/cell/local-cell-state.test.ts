import t from 'tap'
import { ManualClock } from '@figloom/runtime'
import { claimBy, copyOf, foldOf, hostA, hostB, observedOf, reportOf } from './cell-fixtures.js'
import { CellSituation } from './local-cell-state.js'
import type { CellState } from './state.js'

const STALE_REPORT_MS = 15_000

/** A host that took a report of `r1` with model `old` when it had read up to `readOffset`. */
function create (readOffset: number): CellSituation {
  const situation = CellSituation.create({ clock: ManualClock.create(), cell: 'c', staleReportMs: STALE_REPORT_MS })
  situation.books.markRead(readOffset, -10)
  situation.books.takeReport('r1', reportOf({ copies: [copyOf('old')] }), 0, 0, [])
  return situation
}

function modelsShown (situation: CellSituation, state: CellState): string[] {
  const { runners } = situation.viewOf(state, { isHolder: false, logReachable: true }, () => false)
  return runners.flatMap(({ copies }) => copies.map(({ model }) => model))
}

/** The stream after `host-b` took the lease over and saw model `new` at the runner. */
function succeeded (asOfOffset: number): CellState {
  const seen = { kind: 'settled', claim: 2, intents: [], observed: observedOf('r1', 'i1', asOfOffset, [copyOf('new')]) }
  return foldOf([claimBy(hostA, 0), claimBy(hostB, 1), seen])
}

t.test('a former holder believes the stream above its own earlier report', async (t) => {
  t.same(modelsShown(create(1), succeeded(2)), ['new'])
})

t.test('an own report is shown while the stream has nothing later', async (t) => {
  t.same(modelsShown(create(3), succeeded(2)), ['old'])
})
