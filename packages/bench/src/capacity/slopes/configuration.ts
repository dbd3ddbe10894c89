/** Measures the cost of following the configuration, by number of runners in the tables. */
import { createConfigState, diffTables, encodeSnapshot, foldRecord, fromStateJson, type ConfigState } from '@figloom/tables'
import { fitLine, type Fit } from '../fit.js'
import { createTables } from '../fixtures.js'
import { measureHeapMiB, medianUs } from '../probe.js'

export type ConfigurationSlopes = { editUs: Fit, stateMiB: Fit, snapshotKiB: Fit, startMs: Fit, editBytes: number }

const RUNNERS = [750, 1500, 3000, 6000]

export function measureConfiguration (): ConfigurationSlopes {
  const rows = RUNNERS.map(measureOne)
  const line = (pick: (row: (typeof rows)[number]) => number) => fitLine(rows.map((row) => ({ size: row.runners, cost: pick(row) })))
  return {
    editUs: line(({ editUs }) => editUs),
    stateMiB: line(({ stateMiB }) => stateMiB),
    snapshotKiB: line(({ snapshotKiB }) => snapshotKiB),
    startMs: line(({ startMs }) => startMs),
    editBytes: JSON.stringify(createRunnerEdit(createConfigState(), 750)).length
  }
}

function measureOne (runners: number) {
  const { value: state, heapMiB } = measureHeapMiB(() => createFirstState(runners))
  const snapshot = encodeSnapshot(state)
  const edit = createRunnerEdit(state, runners)
  return {
    runners,
    stateMiB: heapMiB,
    snapshotKiB: snapshot.length / 1024,
    editUs: medianUs(3, () => fold(state, edit)),
    startMs: medianUs(1, () => {
      const { state: json, standsFor, ruleVersion } = JSON.parse(snapshot)
      fromStateJson(json, { offset: standsFor, ruleVersion })
    }) / 1000
  }
}

function createFirstState (runners: number): ConfigState {
  const changes = diffTables({ routes: [], pools: [] }, createTables(runners))
  return fold(createConfigState(), { kind: 'edit', ruleVersion: 1, editId: 'first', author: 'bench', baseOffset: 0, changes })
}

/** Creates an edit that changes the row of one runner. */
function createRunnerEdit (state: ConfigState, runners: number) {
  const tables = createTables(runners)
  const [pool] = tables.pools
  const [runner] = pool?.runners ?? []
  if (pool === undefined || runner === undefined) throw new Error('the tables have no runner')
  const changed = { ...tables, pools: [{ ...pool, runners: [{ ...runner, memoryMiB: 180_000 }, ...pool.runners.slice(1)] }, ...tables.pools.slice(1)] }
  return { kind: 'edit', ruleVersion: 1, editId: `edit-${state.offset}`, author: 'bench', baseOffset: state.offset, changes: diffTables(tables, changed) }
}

function fold (state: ConfigState, body: unknown): ConfigState {
  const outcome = foldRecord(state, { offset: state.offset + 1, body })
  if (outcome.kind !== 'applied' || outcome.edit?.verdict.kind !== 'accepted') throw new Error(JSON.stringify(outcome).slice(0, 400))
  return outcome.state
}
