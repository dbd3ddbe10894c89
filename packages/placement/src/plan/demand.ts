/** Copies by demand: moves that win back more attainment over the horizon than they cost. */
import type { ModelDemand } from '../types.js'
import { keyOf, type Draft, type DraftCopy, type DraftRunner, type RoutedModel } from './draft.js'
import { compareText, missedWork, Utilization } from './utilization.js'
import { isSpare } from './coverage.js'

const MS_PER_S = 1_000
/** Hot runners and their models that one plan looks at. */
const HOT_RUNNERS = 4
const HOT_MODELS = 3

/** A copy to add, and the copies that make room for it. */
type Move = { model: RoutedModel, runner: DraftRunner, victims: DraftCopy[], gainS: number }

/** Work of each model in runners, from its forecast rate. */
export function workByModel (demand: readonly ModelDemand[]): Map<string, number> {
  return new Map(demand.map((row) => [keyOf(row), row.forecastPerS * row.runnerMsPerRequest / MS_PER_S]))
}

/** Work of each model at its recent peak; what a victim must still be able to carry. */
function peakWorkByModel (demand: readonly ModelDemand[]): Map<string, number> {
  return new Map(demand.map((row) => [keyOf(row), Math.max(row.forecastPerS, row.recentPeakPerS) * row.runnerMsPerRequest / MS_PER_S]))
}

/** Work of each model in copies, from its forecast rate: above 1 for each copy, requests wait for a place. */
function placesByModel (demand: readonly ModelDemand[]): Map<string, number> {
  return new Map(demand.map((row) => [keyOf(row), row.forecastPerS * (row.copyMsPerRequest ?? 0) / MS_PER_S]))
}

/** What a plan weighs moves by. */
type Weighing = { draft: Draft, utilization: Utilization, work: ReadonlyMap<string, number>, peaks: ReadonlyMap<string, number>, places: ReadonlyMap<string, number> }

/** Adds copies of the models that load the fullest runners or fill their copies, best gain first. */
export function followDemand (draft: Draft, work: ReadonlyMap<string, number>): void {
  const { demand } = draft.input
  const weighing = { draft, utilization: Utilization.create(draft, work), work, peaks: peakWorkByModel(demand), places: placesByModel(demand) }
  for (let moves = 0; moves < draft.options.maxDemandMoves && draft.loadsLeft > 0; moves++) {
    const move = bestMove(weighing)
    if (move === undefined) return
    carryOut(draft, weighing.utilization, move)
  }
}

function carryOut (draft: Draft, utilization: Utilization, move: Move): void {
  for (const victim of move.victims) {
    utilization.remove(victim)
    draft.unload(victim, `room for ${move.model.key}`)
    utilization.respread(victim.key)
  }
  if (!draft.load(move.runner, move.model, 'demand') && draft.willFit(move.runner, move.model)) draft.expect(move.runner, move.model)
  utilization.respread(move.model.key)
}

function bestMove (weighing: Weighing): Move | undefined {
  const { draft, utilization } = weighing
  const copies = [...hottest(draft, utilization).flatMap((hot) => busiest(hot, utilization)), ...fullest(weighing)]
  let best: Move | undefined
  for (const copy of copies) {
    const model = draft.routed(copy.key)
    if (model === undefined) continue
    const move = bestTarget(weighing, copy, model)
    if (move !== undefined && move.gainS > (best?.gainS ?? 0)) best = move
  }
  return best
}

/** The busiest copy of each model whose copies have too few places for its requests. */
function fullest ({ draft, utilization, places }: Weighing): DraftCopy[] {
  const full = draft.models.filter(({ key }) => missedWork((places.get(key) ?? 0) / Math.max(1, draft.copiesOf(key).length)) > 0)
  return full.flatMap(({ key }) => [...draft.copiesOf(key)].sort((a, b) => utilization.of(b.runner) - utilization.of(a.runner)).slice(0, 1))
}

function hottest (draft: Draft, utilization: Utilization): DraftRunner[] {
  const open = draft.runners.filter((runner) => runner.open && missedWork(utilization.of(runner)) > 0)
  open.sort((a, b) => utilization.of(b) - utilization.of(a) || compareText(a.view.name, b.view.name))
  return open.slice(0, HOT_RUNNERS)
}

function busiest (runner: DraftRunner, utilization: Utilization): DraftCopy[] {
  const copies = [...runner.copies.values()]
  copies.sort((a, b) => utilization.partOf(b) - utilization.partOf(a) || compareText(a.key, b.key))
  return copies.slice(0, HOT_MODELS)
}

function bestTarget (weighing: Weighing, copy: DraftCopy, model: RoutedModel): Move | undefined {
  const { draft, utilization, peaks } = weighing
  const placesS = reliefOfPlaces(weighing, model.key) * draft.options.horizonS
  let best: Move | undefined
  for (const runner of draft.runners) {
    if (!runner.open || runner.copies.has(model.key)) continue
    const reliefS = placesS * Math.max(0, 1 - utilization.of(runner)) + reliefOf(utilization, copy, runner) * draft.options.horizonS
    if (reliefS <= (best?.gainS ?? 0)) continue
    const victims = victimsFor(draft, runner, model, peaks, utilization)
    if (victims === undefined) continue
    const gainS = reliefS - costOf(draft, victims)
    if (gainS > (best?.gainS ?? 0)) best = { model, runner, victims, gainS }
  }
  return best
}

/** Missed work that is saved when a model gets places of one more copy, in runners. */
function reliefOfPlaces ({ draft, work, places }: Weighing, key: string): number {
  const copies = draft.copiesOf(key).length
  const needed = places.get(key) ?? 0
  if (needed <= 0 || copies === 0) return 0
  const missedCopies = copies * missedWork(needed / copies) - (copies + 1) * missedWork(needed / (copies + 1))
  return Math.max(0, missedCopies) * (work.get(key) ?? 0) / needed
}

/** Missed work that is saved when a hot runner shares a model's work with another one, in runners. */
function reliefOf (utilization: Utilization, copy: DraftCopy, to: DraftRunner): number {
  const from = utilization.of(copy.runner)
  const target = utilization.of(to)
  const moved = Math.min(utilization.partOf(copy), (from - target) / 2)
  if (moved <= 0) return 0
  return missedWork(from) + missedWork(target) - missedWork(from - moved) - missedWork(target + moved)
}

function costOf (draft: Draft, victims: readonly DraftCopy[]): number {
  const { minMoveCostS, moveCostS } = draft.options
  return (1 + victims.length) * (minMoveCostS + draft.input.pool.moveWeight * moveCostS)
}

/** Spare copies to unload for a model; empty if it fits as it is, undefined if there is no room to be made. */
function victimsFor (draft: Draft, runner: DraftRunner, model: RoutedModel, peaks: ReadonlyMap<string, number>, utilization: Utilization): DraftCopy[] | undefined {
  if (draft.willFit(runner, model)) return []
  const spare = [...runner.copies.values()].filter((copy) => isIdleSpare(draft, copy, peaks, utilization))
  spare.sort((a, b) => (peaks.get(a.key) ?? 0) - (peaks.get(b.key) ?? 0) || compareText(a.key, b.key))
  const victims: DraftCopy[] = []
  let freeMiB = runner.freeMiB + runner.freeingMiB
  for (const copy of spare) {
    if (freeMiB >= model.sizeMiB) break
    victims.push(copy)
    freeMiB += copy.sizeMiB
  }
  return freeMiB >= model.sizeMiB && victims.length > 0 ? victims : undefined
}

/** Whether the other copies of a model carry its recent peak without this one. */
function isIdleSpare (draft: Draft, copy: DraftCopy, peaks: ReadonlyMap<string, number>, utilization: Utilization): boolean {
  if (draft.sinceChangeMs(copy.runner, copy.key) < draft.options.minResidenceMs) return false
  if (!isSpare(draft, copy, true)) return false
  const others = draft.copiesOf(copy.key).filter((other) => other !== copy && other.serving)
  const room = others.reduce((sum, other) => sum + Math.max(0, SPARE_LEVEL - utilization.of(other.runner) + utilization.partOf(other)), 0)
  return room >= (peaks.get(copy.key) ?? 0)
}

/** Utilization up to which the remaining copies of a model may be filled when one goes. */
const SPARE_LEVEL = 0.6
