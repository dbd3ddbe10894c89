/** Tables of the two benchmark deployments, at the sizes that their operators run, and of a small one. */
import { Priority, type ModelRoute, type Pool, type PoolModel, type Runner } from '@figloom/tables'

/** A deployment: its tables, the limits of its platform and its network delays. */
export type Deployment = {
  name: 'cooperative' | 'franchise' | 'small'
  pool: Pool
  routes: ModelRoute[]
  zones: string[]
  /** One-way network delay between availability zones. */
  zoneDelayMs: number
  /** Loads that the weight store allows to start in a second. */
  storeLoadStartsPerS: number
  /** Concurrent loads that the weight store serves at full speed. */
  storeConcurrentLoads: number
  /** Shortest and longest load time of an adapter. */
  adapterLoadMs: [number, number]
  /** Concurrent adapter loads that the store serves at full speed. */
  maxAdaptersInTransit: number
  /** Requests per second over all models on an ordinary day. */
  ordinaryRequestsPerS: number
}

/** A group of models of one size: their number, and the memory of one copy in GiB. */
type SizeClass = { prefix: string, count: number, weightsGiB: number, kvGiB: number }

const MIB_PER_GIB = 1024
const FIRST_TOKEN_TARGET_MS = 380
const BETWEEN_TOKENS_TARGET_MS = 43

type DeploymentSize = {
  name: Deployment['name']
  region: string
  zones: string[]
  runners: number
  runnerGiB: number
  classes: SizeClass[]
  adapters: number
  moveWeight: number
}

function buildTables (sizes: DeploymentSize): { pool: Pool, routes: ModelRoute[], zones: string[] } {
  const models = sizes.classes.flatMap(modelsOf)
  for (let index = 0; index < sizes.adapters; index++) {
    models[index % models.length]?.adapters.push({ name: `adapter-${index}`, sizeMiB: 64 })
  }
  const runners = Array.from({ length: sizes.runners }, (_, index) => runnerOf(sizes, index))
  const pool = { name: sizes.name, region: sizes.region, moveWeight: sizes.moveWeight, runners, models }
  return { pool, routes: models.flatMap((model) => routesOf(model, sizes.name)), zones: sizes.zones }
}

function modelsOf ({ prefix, count, weightsGiB, kvGiB }: SizeClass): PoolModel[] {
  return Array.from({ length: count }, (_, index) => (
    { name: `${prefix}-${index}`, version: '1', weightsMiB: weightsGiB * MIB_PER_GIB, kvReserveMiB: kvGiB * MIB_PER_GIB, adapters: [] }))
}

function runnerOf (sizes: DeploymentSize, index: number): Runner {
  const availabilityZone = sizes.zones[index % sizes.zones.length] ?? ''
  const name = `runner-${String(index).padStart(2, '0')}`
  return { name, availabilityZone, url: '', accelerators: 2, memoryMiB: sizes.runnerGiB * MIB_PER_GIB, checksFencing: true }
}

function routesOf (model: PoolModel, pool: string): ModelRoute[] {
  return [undefined, ...model.adapters.map(({ name }) => name)].map((adapter) => ({
    kind: 'model',
    name: adapter === undefined ? model.name : `${model.name}-${adapter}`,
    model: model.name,
    version: model.version,
    ...(adapter === undefined ? {} : { adapter }),
    pool,
    firstTokenTargetMs: FIRST_TOKEN_TARGET_MS,
    betweenTokensTargetMs: BETWEEN_TOKENS_TARGET_MS,
    priority: Priority.Interactive
  }))
}

export const COOPERATIVE: Deployment = {
  name: 'cooperative',
  ...buildTables({
    name: 'cooperative',
    region: 'pt-norte',
    zones: ['porto-a', 'porto-b', 'braga-c'],
    runners: 13,
    runnerGiB: 160,
    adapters: 95,
    moveWeight: 0.2,
    classes: [
      { prefix: 'medium', count: 16, weightsGiB: 16, kvGiB: 6 },
      { prefix: 'small', count: 10, weightsGiB: 8, kvGiB: 4 },
      { prefix: 'large', count: 6, weightsGiB: 28, kvGiB: 8 },
      { prefix: 'huge', count: 2, weightsGiB: 56, kvGiB: 12 }
    ]
  }),
  zoneDelayMs: 0.5,
  storeLoadStartsPerS: 2,
  storeConcurrentLoads: 24,
  adapterLoadMs: [10, 30],
  maxAdaptersInTransit: 190,
  ordinaryRequestsPerS: 110
}

export const FRANCHISE: Deployment = {
  name: 'franchise',
  ...buildTables({
    name: 'franchise',
    region: 'norte',
    zones: ['norte-a', 'norte-b', 'norte-c'],
    runners: 13,
    runnerGiB: 112,
    adapters: 110,
    moveWeight: 0.8,
    classes: [
      { prefix: 'medium', count: 9, weightsGiB: 16, kvGiB: 6 },
      { prefix: 'small', count: 6, weightsGiB: 8, kvGiB: 4 },
      { prefix: 'large', count: 4, weightsGiB: 28, kvGiB: 8 },
      { prefix: 'huge', count: 2, weightsGiB: 56, kvGiB: 12 }
    ]
  }),
  zoneDelayMs: 1.5,
  storeLoadStartsPerS: 2,
  storeConcurrentLoads: 15,
  adapterLoadMs: [6, 20],
  maxAdaptersInTransit: 120,
  ordinaryRequestsPerS: 110
}

export const DEPLOYMENTS = [COOPERATIVE, FRANCHISE]

/** Small enough to try every static placement. */
export const SMALL: Deployment = {
  ...COOPERATIVE,
  name: 'small',
  ...buildTables({
    name: 'small',
    region: 'pt-norte',
    zones: ['porto-a', 'porto-b', 'braga-c'],
    runners: 3,
    runnerGiB: 46,
    adapters: 0,
    moveWeight: 0.2,
    classes: [{ prefix: 'medium', count: 4, weightsGiB: 16, kvGiB: 6 }]
  }),
  ordinaryRequestsPerS: 18
}
