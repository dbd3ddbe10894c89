/** Generates the requests of a scenario from a seed, in order of arrival. */
import { Priority, type ModelRoute, type PoolModel } from '@figloom/tables'
import type { Deployment } from './deployments.js'
import { createRandom, logNormal, poisson } from './random.js'

/** One simulated request and the time at which it arrives. */
export type Arrival = {
  id: string
  atMs: number
  route: ModelRoute
  priority: Priority
  promptTokens: number
  outputTokens: number
  prefixHashes: string[]
}

export const ScenarioName = {
  Ordinary: 'ordinary day',
  Peak: 'peak',
  Swing: 'tenfold swing',
  Batch: 'overnight batch',
  RunnerLoss: 'runner loss',
  ZoneLoss: 'zone loss',
  StoreSlow: 'store slow',
  LogDown: 'log down'
} as const
export type ScenarioName = (typeof ScenarioName)[keyof typeof ScenarioName]

export const SCENARIOS: ScenarioName[] = Object.values(ScenarioName)

/** Duration for which requests arrive, and of the whole replay, which leaves time for the last responses. */
export const DEMAND_DURATION_MS = 100_000
export const REPLAY_DURATION_MS = 115_000
/** Tokens per hashed prefix block of a prompt. */
export const BLOCK_TOKENS = 128

const ZIPF_EXPONENT = 0.9
const MEAN_PROMPT_TOKENS = 700
const MEAN_OUTPUT_TOKENS = 120
const MEAN_BATCH_PROMPT_TOKENS = 1_500
const MEAN_BATCH_OUTPUT_TOKENS = 500
const HOT_MODEL_COUNT = 3
const PEAK_FACTOR = 4
const SWING_FACTOR = 10

export type DemandOptions = { scenario: ScenarioName, seed: number, sharedPrefixShare: number }

/** Request rate of one model over time. */
type Rate = { model: PoolModel, routes: ModelRoute[], requestsPerS: (atS: number) => number }

/** Request rates per second at the start of the replay; the cell has observed them as its usual demand. */
export function ordinaryRequestRates (deployment: Deployment, options: DemandOptions): { model: string, perS: number }[] {
  return ratesOf(deployment, options.scenario, createRandom(options.seed)).map(({ model, requestsPerS }) => ({ model: model.name, perS: requestsPerS(0) }))
}

export function createDemand (deployment: Deployment, options: DemandOptions): Arrival[] {
  const random = createRandom(options.seed)
  const rates = ratesOf(deployment, options.scenario, random)
  const arrivals: Arrival[] = []
  for (let second = 0; second < DEMAND_DURATION_MS / 1000; second++) {
    for (const rate of rates) {
      const count = poisson(rate.requestsPerS(second), random)
      for (let n = 0; n < count; n++) arrivals.push(createInteractiveArrival(rate, second, arrivals.length, options, random))
    }
    if (options.scenario === ScenarioName.Batch) addBatchArrivals(arrivals, rates, second, random)
  }
  return arrivals.sort((a, b) => a.atMs - b.atMs)
}

function ratesOf (deployment: Deployment, scenario: ScenarioName, random: () => number): Rate[] {
  const models = shuffle(deployment.pool.models, random)
  const weights = models.map((model, rank) => (rank + 1) ** -ZIPF_EXPONENT * 16384 / Math.max(16384, model.weightsMiB))
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  const hot = new Set(shuffle(models.slice(2, 10), random).slice(0, HOT_MODEL_COUNT))
  return models.map((model, rank) => {
    const baseRequestsPerS = deployment.ordinaryRequestsPerS * (weights[rank] ?? 0) / total
    const factor = demandFactor(scenario, hot.has(model), rank)
    const routes = deployment.routes.filter((route) => route.model === model.name)
    return { model, routes, requestsPerS: (atS) => baseRequestsPerS * factor(atS) }
  })
}

/** Factor by which a model's demand changes over time. Nothing announces a burst before it starts. */
function demandFactor (scenario: ScenarioName, hot: boolean, rank: number): (atS: number) => number {
  switch (scenario) {
    case ScenarioName.Peak: return (atS) => 1 + (hot ? PEAK_FACTOR : 0.6) * ramp(atS, 20, 10) * (1 - ramp(atS, 80, 10))
    case ScenarioName.Swing: return rank === 3 ? (atS) => 1 + (SWING_FACTOR - 1) * ramp(atS, 15, 45) * (1 - ramp(atS, 80, 15)) : () => 1
    case ScenarioName.Batch: return () => 0.5
    default: return (atS) => 1 + 0.2 * Math.sin(atS / 20 + rank)
  }
}

function ramp (atS: number, fromS: number, lengthS: number): number {
  return Math.min(1, Math.max(0, (atS - fromS) / lengthS))
}

function createInteractiveArrival (rate: Rate, second: number, index: number, options: DemandOptions, random: () => number): Arrival {
  const route = rate.routes[Math.floor(random() * rate.routes.length)] as ModelRoute
  const promptTokens = clamp(logNormal(MEAN_PROMPT_TOKENS, 0.5, random), 64, 4_000)
  return {
    id: `q${index}`,
    atMs: (second + random()) * 1000,
    route,
    priority: Priority.Interactive,
    promptTokens,
    outputTokens: clamp(logNormal(MEAN_OUTPUT_TOKENS, 0.6, random), 4, 800),
    prefixHashes: prefixHashesOf(route, promptTokens, index, options, random)
  }
}

/** Hashes of a prompt's blocks: instructions shared by the route, then a part shared by one of its conversations, then one new block. */
function prefixHashesOf (route: ModelRoute, promptTokens: number, index: number, options: DemandOptions, random: () => number): string[] {
  const blocks = Math.floor(promptTokens / BLOCK_TOKENS)
  const shared = Math.floor(blocks * options.sharedPrefixShare)
  const instructions = Math.min(2, shared)
  const conversationId = Math.floor(random() * 30)
  return Array.from({ length: Math.min(blocks, shared + 1) }, (_, block) => {
    if (block < instructions) return `${route.name}/${block}`
    if (block < shared) return `${route.name}/${conversationId}/${block}`
    return `${index}/${block}`
  })
}

/** Adds long batch jobs in bursts that exceed what the cell can run at once. */
function addBatchArrivals (arrivals: Arrival[], rates: readonly Rate[], second: number, random: () => number): void {
  if (second % 40 !== 15) return
  for (let n = 0; n < 400; n++) {
    const rate = rates[Math.floor(random() * 6)] as Rate
    const promptTokens = clamp(logNormal(MEAN_BATCH_PROMPT_TOKENS, 0.3, random), 64, 4_000)
    arrivals.push({
      id: `b${arrivals.length}`,
      atMs: (second + random() * 5) * 1000,
      route: rate.routes[0] as ModelRoute,
      priority: Priority.Batch,
      promptTokens,
      outputTokens: clamp(logNormal(MEAN_BATCH_OUTPUT_TOKENS, 0.3, random), 4, 1_500),
      prefixHashes: []
    })
  }
}

function shuffle<Item> (items: readonly Item[], random: () => number): Item[] {
  const copy = [...items]
  for (let index = copy.length - 1; index > 0; index--) {
    const other = Math.floor(random() * (index + 1))
    ;[copy[index], copy[other]] = [copy[other] as Item, copy[index] as Item]
  }
  return copy
}

function clamp (value: number, low: number, high: number): number {
  return Math.round(Math.min(high, Math.max(low, value)))
}
