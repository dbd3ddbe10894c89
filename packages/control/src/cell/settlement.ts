/** Rules for when an order counts as settled, for engines that check fences and for engines that ignore them. */
import type { EngineReport, OrderOutcome } from '@figloom/clients'
import { CopyState, OrderAction } from '@figloom/tables'
import { SettledOutcome, DeliveryStatus, type CellOrder } from './records.js'
import type { Intent } from './state.js'
import { modelKeyOf } from './ledger.js'

/** A report and the earliest time at which its figures can have been taken. */
export type TimedReport = {
  report: EngineReport
  /** Monotonic time in milliseconds at which the report was requested, less the age of its figures. */
  takenMs: number
  /** Last offset that the holder had read before `takenMs`. */
  asOfOffset: number
}

/** Answer that this process received to an order; `atMs` is the monotonic time of receipt in milliseconds. */
export type OrderAnswer = { atMs: number, outcome: OrderOutcome['outcome'], instance: string }

/** Highest fence that an engine process confirmed to this host. */
export type ConfirmedFence = { fence: number, instance: string, atMs: number }

export type SettlementInput = {
  intent: Intent
  /** Whether the intent was written under the current holder's claim. */
  isOwnClaim: boolean
  checksFencing: boolean
  answer: OrderAnswer | undefined
  fence: ConfirmedFence | undefined
  timedReport: TimedReport
}

/** The order's effect as the report shows it. */
const Effect = { InProgress: 'under-way', InEffect: 'in-effect', None: 'none' } as const
type Effect = (typeof Effect)[keyof typeof Effect]

/** Returns how the order was settled; undefined while it may still take effect. */
export function settlementOf (input: SettlementInput): SettledOutcome | undefined {
  if (hadNoEffect(input.answer)) return SettledOutcome.Refused
  const effect = effectIn(input.intent.order, input.timedReport.report)
  if (effect === Effect.InProgress) return undefined
  const settledAs = effect === Effect.InEffect ? SettledOutcome.Done : SettledOutcome.Void
  if (answeredBefore(input)) return isEffectPending(input, effect) ? undefined : settledAs
  if (fencedBefore(input)) return SettledOutcome.Fenced
  return endedWithProcess(input) && !input.checksFencing ? settledAs : undefined
}

function hadNoEffect (answer: OrderAnswer | undefined): boolean {
  return answer?.outcome === 'refused' || answer?.outcome === 'stale-fence'
}

/**
 * Whether the order was answered before the report's figures were taken. On an engine that checks fences, an answer to an
 * earlier holder counts only after this holder has raised the fence.
 */
function answeredBefore (input: SettlementInput): boolean {
  const { intent, answer, timedReport, checksFencing, isOwnClaim } = input
  if (!isOwnClaim && checksFencing && !fencedBefore(input)) return false
  if (answer !== undefined && timedReport.takenMs > answer.atMs) return true
  return intent.word?.word === DeliveryStatus.Answered && timedReport.asOfOffset >= intent.word.offset
}

/** Whether the same engine process accepted the order and the report does not show its effect yet. */
function isEffectPending ({ answer, timedReport }: SettlementInput, effect: Effect): boolean {
  if (answer?.outcome !== 'accepted' || effect === Effect.InEffect) return false
  return answer.instance === timedReport.report.instance
}

function fencedBefore ({ intent, checksFencing, fence, timedReport }: SettlementInput): boolean {
  if (!checksFencing || fence === undefined) return false
  if (fence.instance !== timedReport.report.instance) return false
  return fence.fence > intent.offset && timedReport.takenMs > fence.atMs
}

/** Whether the sender has ended and the engine process that the order may still have been in flight to was replaced. */
function endedWithProcess ({ intent, timedReport }: SettlementInput): boolean {
  return intent.replaced && timedReport.report.instance !== intent.baselineInstance
}

function effectIn (order: CellOrder, report: EngineReport): Effect {
  const copy = report.copies.find((candidate) => modelKeyOf(candidate) === modelKeyOf(order))
  const adapter = copy?.adapters.find(({ name }) => name === order.adapter)
  switch (order.action) {
    case OrderAction.Load: return loadEffect(copy?.state)
    case OrderAction.LoadAdapter: return loadEffect(adapter?.state)
    case OrderAction.Unload: return unloadEffect(copy?.state)
    case OrderAction.UnloadAdapter: return unloadEffect(adapter?.state)
    case OrderAction.SetRole: return report.role === order.role ? Effect.InEffect : Effect.None
  }
}

function loadEffect (state: CopyState | undefined): Effect {
  if (state === CopyState.Loading) return Effect.InProgress
  return state === CopyState.Resident ? Effect.InEffect : Effect.None
}

function unloadEffect (state: CopyState | undefined): Effect {
  if (state === CopyState.Unloading) return Effect.InProgress
  return state === undefined ? Effect.InEffect : Effect.None
}
