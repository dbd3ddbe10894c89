/** Creates edits for configurations of a given size. */
import { RULE_VERSION, type EditRecord, type RowChange } from '@figloom/tables'

/** Size of a configuration; runners and models are spread evenly over the pools. */
export type FleetSize = { pools: number, runners: number, models: number }

const RUNNER_MEMORY_MIB = 163_840
const ADAPTERS_PER_MODEL = 3

/** Edit that creates all rows of a configuration, one route for each model. */
export function createFleetEdit (size: FleetSize): EditRecord {
  const pools = Array.from({ length: size.pools }, (_, index): RowChange =>
    ({ row: 'pool', pool: poolName(index), value: { name: poolName(index), region: 'region-1', moveWeight: 0.2 } }))
  const runners = Array.from({ length: size.runners }, (_, index) => runnerChange(size, index, 8000))
  const models = Array.from({ length: size.models }, (_, index) => [modelChange(size, index, '1'), routeChange(size, index, '1')]).flat()
  return createEdit('first', 0, [...pools, ...runners, ...models])
}

/** Edit that moves one model and its route to the next version and removes the old version. */
export function createVersionEdit (size: FleetSize, editId: string, baseOffset: number, model: number, version: number): EditRecord {
  const old = modelChange(size, model, String(version))
  const next = String(version + 1)
  return createEdit(editId, baseOffset, [modelChange(size, model, next), routeChange(size, model, next), { ...old, value: null } as RowChange])
}

/** Edit that changes the address of one runner. */
export function createRunnerEdit (size: FleetSize, editId: string, baseOffset: number, port: number): EditRecord {
  return createEdit(editId, baseOffset, [runnerChange(size, 0, port)])
}

function createEdit (editId: string, baseOffset: number, changes: RowChange[]): EditRecord {
  return { kind: 'edit', ruleVersion: RULE_VERSION, editId, author: 'operator', baseOffset, changes }
}

function poolName (index: number): string {
  return `pool-${index}`
}

function runnerChange ({ pools }: FleetSize, index: number, port: number): RowChange {
  const pool = poolName(index % pools)
  const name = `${pool}-runner-${index}`
  const url = `http://10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:${port}`
  return { row: 'runner', pool, name, value: { name, availabilityZone: 'zone-1', url, accelerators: 2, memoryMiB: RUNNER_MEMORY_MIB, checksFencing: true } }
}

function modelChange ({ pools }: FleetSize, index: number, version: string): RowChange {
  const name = `model-${index}`
  const adapters = Array.from({ length: ADAPTERS_PER_MODEL }, (_, adapter) => ({ name: `adapter-${adapter}`, sizeMiB: 64 }))
  return { row: 'model', pool: poolName(index % pools), name, version, value: { name, version, weightsMiB: 16_384, kvReserveMiB: 8192, adapters } }
}

function routeChange ({ pools }: FleetSize, index: number, version: string): RowChange {
  const name = `route-${index}`
  return {
    row: 'route',
    name,
    value: { kind: 'model', name, model: `model-${index}`, version, pool: poolName(index % pools), firstTokenTargetMs: 380, betweenTokensTargetMs: 43, priority: 'interactive' }
  }
}
