/** Benchmark of the rule that accepts or rejects configuration edits: time per edit, size and time of a snapshot, and heap of the state, by size. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createConfigState, encodeSnapshot, foldRecord, parseConfigRecord, type ConfigState, type EditRecord } from '@figloom/tables'
import { createFleetEdit, createRunnerEdit, createVersionEdit, type FleetSize } from './fleet.js'

const SIZES: readonly FleetSize[] = [
  { pools: 1, runners: 13, models: 34 },
  { pools: 15, runners: 600, models: 73 },
  { pools: 75, runners: 3000, models: 365 },
  { pools: 300, runners: 12_000, models: 730 }
]
/** Edits before the measurement, enough to fill the history of verdicts, which is bounded. */
const WARM_UP_EDITS = 1100
const VERSION_EDITS = 500
const RUNNER_EDITS = 100

type AcceptanceResult = FleetSize & {
  versionEditBytes: number
  versionEditMs: number
  runnerEditMs: number
  firstEditMs: number
  snapshotBytes: number
  snapshotWriteMs: number
  snapshotReadMs: number
  stateHeapBytes: number
}

/** Measures all sizes and prints one JSON document. */
export async function runAcceptance (): Promise<void> {
  console.log(JSON.stringify(SIZES.map(measure), null, 2))
}

function measure (size: FleetSize): AcceptanceResult {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  const first = JSON.parse(JSON.stringify(createFleetEdit(size))) as EditRecord
  const firstEditMs = timeMs(() => fold(createConfigState(), first))
  const warm = changeVersions(size, fold(createConfigState(), first), 0, WARM_UP_EDITS)
  const versionEditMs = timeMs(() => changeVersions(size, warm, WARM_UP_EDITS, VERSION_EDITS)) / VERSION_EDITS
  const runnerEditMs = timeMs(() => changeRunners(size, warm)) / RUNNER_EDITS
  const snapshot = encodeSnapshot(warm)
  return {
    ...size,
    versionEditBytes: JSON.stringify(createVersionEdit(size, editId(0), 1, 0, 1)).length,
    versionEditMs: round(versionEditMs),
    runnerEditMs: round(runnerEditMs),
    firstEditMs: round(firstEditMs),
    snapshotBytes: snapshot.length,
    snapshotWriteMs: round(timeMs(() => encodeSnapshot(warm))),
    snapshotReadMs: round(timeMs(() => parseConfigRecord(JSON.parse(snapshot)))),
    stateHeapBytes: measureHeapBytes(collectGarbage, () => parseConfigRecord(JSON.parse(snapshot))._unsafeUnwrap())
  }
}

function changeVersions (size: FleetSize, start: ConfigState, done: number, count: number): ConfigState {
  let state = start
  for (let n = done; n < done + count; n += 1) {
    const version = 1 + Math.floor(n / size.models)
    state = fold(state, createVersionEdit(size, editId(n), state.offset, n % size.models, version))
  }
  return state
}

function changeRunners (size: FleetSize, start: ConfigState): void {
  let state = start
  for (let n = 0; n < RUNNER_EDITS; n += 1) state = fold(state, createRunnerEdit(size, `runner-${n}`, state.offset, 9000 + n))
}

function fold (state: ConfigState, body: EditRecord): ConfigState {
  const outcome = foldRecord(state, { offset: state.offset + 1, body })
  if (outcome.kind === 'applied' && outcome.edit?.verdict.kind === 'accepted') return outcome.state
  throw new Error(`edit ${body.editId} was not accepted`)
}

function editId (n: number): string {
  return `00000000-0000-4000-8000-${String(n).padStart(12, '0')}`
}

function measureHeapBytes (collectGarbage: () => void, create: () => unknown): number {
  collectGarbage()
  const before = process.memoryUsage().heapUsed
  const value = create()
  collectGarbage()
  const after = process.memoryUsage().heapUsed
  return value === undefined ? 0 : after - before
}

function timeMs (run: () => unknown): number {
  const startMs = performance.now()
  run()
  return performance.now() - startMs
}

function round (value: number): number {
  return Math.round(value * 1000) / 1000
}
