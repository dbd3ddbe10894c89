/** Adds copies where demand is high, if more work then meets its latency targets within the horizon than the move costs. */
import type { ModelDemand } from '../types.js'
import { keyOf, type Draft, type DraftCopy, type DraftRunner, type RoutedModel } from './draft.js'
import { compareText, missedWork, Utilization } from './utilization.js'
import { isSpare } from './coverage.js'

const MS_PER_S = 1_000
/** Maximum number of overloaded runners, and of models on each, that are considered for a move. */
const MAX_HOT_RUNNERS = 4
const MAX_HOT_MODELS = 3

/** A copy to add, the copies to unload for it, and the expected gain in seconds of one runner's work. */
type Move = { model: RoutedModel, runner: DraftRunner, victims: DraftCopy[], gainS: number }

/** Work of each model at its forecast rate, as a number of fully used runners. */
export function workByModel (demand: readonly ModelDemand[]): Map<string, number> {
  return new Map(demand.map((row) => [keyOf(row), row.forecastPerS * row.runnerMsPerRequest / MS_PER_S]))
}

/** Work of each model at its recent peak, as a number of runners. The remaining copies of a model must be able to carry it. */
function peakWorkByModel (demand: readonly ModelDemand[]): Map<string, number> {
  return new Map(demand.map((row) => [keyOf(row), Math.max(row.forecastPerS, row.recentPeakPerS) * row.runnerMsPerRequest / MS_PER_S]))
}

/** Work of each model at its forecast rate, as a number of fully used copies: above 1 for each copy, requests wait for a slot. */
function copyWorkByModel (demand: readonly ModelDemand[]): Map<string, number> {
  return new Map(demand.map((row) => [keyOf(row), row.forecastPerS * (row.copyMsPerRequest ?? 0) / MS_PER_S]))
}

/** Data by which moves are compared. */
type PlanContext = { draft: Draft, utilization: Utilization, work: ReadonlyMap<string, number>, peaks: ReadonlyMap<string, number>, copyWork: ReadonlyMap<string, number> }

/** Adds copies of the models that use most of the busiest runners or of their copies' slots, highest gain first. */
export function followDemand (draft: Draft, work: ReadonlyMap<string, number>): void {
  const { demand } = draft.input
  const context = { draft, utilization: Utilization.create(draft, work), work, peaks: peakWorkByModel(demand), copyWork: copyWorkByModel(demand) }
  for (let moves = 0; moves < draft.options.maxDemandMoves && draft.loadsLeft > 0; moves++) {
    const move = bestMove(context)
    if (move === undefined) return
    applyMove(draft, context.utilization, move)
  }
}

function applyMove (draft: Draft, utilization: Utilization, move: Move): void {
  for (const victim of move.victims) {
    utilization.remove(victim)
    draft.unload(victim, `memory for ${move.model.key}`)
    utilization.respread(victim.key)
  }
  if (!draft.load(move.runner, move.model, 'demand') && draft.fitsAfterUnloads(move.runner, move.model)) draft.reserveFor(move.runner, move.model)
  utilization.respread(move.model.key)
}

function bestMove (context: PlanContext): Move | undefined {
  const { draft, utilization } = context
  const copies = [...hottest(draft, utilization).flatMap((hot) => busiest(hot, utilization)), ...fullest(context)]
  let best: Move | undefined
  for (const copy of copies) {
    const model = draft.routed(copy.key)
    if (model === undefined) continue
    const move = bestTarget(context, copy, model)
    if (move !== undefined && move.gainS > (best?.gainS ?? 0)) best = move
  }
  return best
}

/** For each model whose copies have too few slots for its requests, the copy on the busiest runner. */
function fullest ({ draft, utilization, copyWork }: PlanContext): DraftCopy[] {
  const full = draft.models.filter(({ key }) => missedWork((copyWork.get(key) ?? 0) / Math.max(1, draft.copiesOf(key).length)) > 0)
  return full.flatMap(({ key }) => [...draft.copiesOf(key)].sort((a, b) => utilization.of(b.runner) - utilization.of(a.runner)).slice(0, 1))
}

function hottest (draft: Draft, utilization: Utilization): DraftRunner[] {
  const overused = draft.runners.filter((runner) => runner.available && missedWork(utilization.of(runner)) > 0)
  overused.sort((a, b) => utilization.of(b) - utilization.of(a) || compareText(a.view.name, b.view.name))
  return overused.slice(0, MAX_HOT_RUNNERS)
}

function busiest (runner: DraftRunner, utilization: Utilization): DraftCopy[] {
  const copies = [...runner.copies.values()]
  copies.sort((a, b) => utilization.partOf(b) - utilization.partOf(a) || compareText(a.key, b.key))
  return copies.slice(0, MAX_HOT_MODELS)
}

function bestTarget (context: PlanContext, copy: DraftCopy, model: RoutedModel): Move | undefined {
  const { draft, utilization, peaks } = context
  const extraCopyReliefS = extraCopyRelief(context, model.key) * draft.options.horizonS
  let best: Move | undefined
  for (const runner of draft.runners) {
    if (!runner.available || runner.copies.has(model.key)) continue
    const reliefS = extraCopyReliefS * Math.max(0, 1 - utilization.of(runner)) + sharingRelief(utilization, copy, runner) * draft.options.horizonS
    if (reliefS <= (best?.gainS ?? 0)) continue
    const victims = findIdleVictims(draft, runner, model, peaks, utilization)
    if (victims === undefined) continue
    const gainS = reliefS - costOf(draft, victims)
    if (gainS > (best?.gainS ?? 0)) best = { model, runner, victims, gainS }
  }
  return best
}

/** Reduction of the work that misses its targets if a model gets the slots of one more copy, in runners. */
function extraCopyRelief ({ draft, work, copyWork }: PlanContext, key: string): number {
  const copies = draft.copiesOf(key).length
  const needed = copyWork.get(key) ?? 0
  if (needed <= 0 || copies === 0) return 0
  const missedCopies = copies * missedWork(needed / copies) - (copies + 1) * missedWork(needed / (copies + 1))
  return Math.max(0, missedCopies) * (work.get(key) ?? 0) / needed
}

/** Reduction of the work that misses its targets if a busy runner shares a model's work with another runner, in runners. */
function sharingRelief (utilization: Utilization, copy: DraftCopy, to: DraftRunner): number {
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

/** Spare copies to unload for a model; empty if the model fits without, undefined if they do not free enough memory. */
function findIdleVictims (draft: Draft, runner: DraftRunner, model: RoutedModel, peaks: ReadonlyMap<string, number>, utilization: Utilization): DraftCopy[] | undefined {
  if (draft.fitsAfterUnloads(runner, model)) return []
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

/** Whether a copy has been there long enough and the model's other copies can carry its recent peak without it. */
function isIdleSpare (draft: Draft, copy: DraftCopy, peaks: ReadonlyMap<string, number>, utilization: Utilization): boolean {
  if (draft.sinceChangeMs(copy.runner, copy.key) < draft.options.minResidenceMs) return false
  if (!isSpare(draft, copy, true)) return false
  const others = draft.copiesOf(copy.key).filter((other) => other !== copy && other.serving)
  const spareWork = others.reduce((sum, other) => sum + Math.max(0, MAX_REMAINING_UTILIZATION - utilization.of(other.runner) + utilization.partOf(other)), 0)
  return spareWork >= (peaks.get(copy.key) ?? 0)
}

/** Utilization up to which work may be added to the runners of a model's remaining copies when one is unloaded. */
const MAX_REMAINING_UTILIZATION = 0.6
