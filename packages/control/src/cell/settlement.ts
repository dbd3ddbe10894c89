/** When an order counts as settled: rules for engines that check fences and for engines that ignore them. */
import type { EngineReport, OrderOutcome } from '@figloom/clients'
import { CopyState, OrderAction } from '@figloom/tables'
import { SettledOutcome, Word, type CellOrder } from './records.js'
import type { Intent } from './state.js'
import { modelKeyOf } from './ledger.js'

/** A report and the time before which its figures were not taken. */
export type TakenReport = {
  report: EngineReport
  /** Monotonic time in milliseconds: when it was asked for, less the age of its figures. */
  takenMs: number
  /** Last offset that the holder had read by `takenMs`. */
  asOfOffset: number
}

/** What the holder itself learned of an order's copy; `atMs` is when it learned it. */
export type CopyAnswer = { atMs: number, outcome: OrderOutcome['outcome'], instance: string }

/** Highest fence that an engine's process confirmed to this holder. */
export type ConfirmedFence = { fence: number, instance: string, atMs: number }

export type SettlementInput = {
  intent: Intent
  /** Whether the intent is of the holder's own claim. */
  own: boolean
  checksFencing: boolean
  answer: CopyAnswer | undefined
  fence: ConfirmedFence | undefined
  taken: TakenReport
}

/** What the report shows of the order's effect. */
const Effect = { UnderWay: 'under-way', InEffect: 'in-effect', None: 'none' } as const
type Effect = (typeof Effect)[keyof typeof Effect]

/** Decides whether the order is settled and how; undefined while it may still take effect. */
export function settlementOf (input: SettlementInput): SettledOutcome | undefined {
  if (hadNoEffect(input.answer)) return SettledOutcome.Refused
  const effect = effectIn(input.intent.order, input.taken.report)
  if (effect === Effect.UnderWay) return undefined
  const settledAs = effect === Effect.InEffect ? SettledOutcome.Done : SettledOutcome.Void
  if (answeredBefore(input)) return isStillAwaited(input, effect) ? undefined : settledAs
  if (fencedBefore(input)) return SettledOutcome.Fenced
  return endedWithProcess(input) && !input.checksFencing ? settledAs : undefined
}

function hadNoEffect (answer: CopyAnswer | undefined): boolean {
  return answer?.outcome === 'refused' || answer?.outcome === 'stale-fence'
}

/**
 * Whether the only copy was answered before the report's figures were taken. An answer to an earlier
 * holder counts on an engine that checks fences only after this holder raised the fence.
 */
function answeredBefore (input: SettlementInput): boolean {
  const { intent, answer, taken, checksFencing, own } = input
  if (!own && checksFencing && !fencedBefore(input)) return false
  if (answer !== undefined && taken.takenMs > answer.atMs) return true
  return intent.word?.word === Word.Answered && taken.asOfOffset >= intent.word.offset
}

/** An order accepted by the same process whose effect the report does not show yet. */
function isStillAwaited ({ answer, taken }: SettlementInput, effect: Effect): boolean {
  if (answer?.outcome !== 'accepted' || effect === Effect.InEffect) return false
  return answer.instance === taken.report.instance
}

function fencedBefore ({ intent, checksFencing, fence, taken }: SettlementInput): boolean {
  if (!checksFencing || fence === undefined) return false
  if (fence.instance !== taken.report.instance) return false
  return fence.fence > intent.offset && taken.takenMs > fence.atMs
}

/** The sender sends nothing more and the process that a copy may have been on its way to is gone. */
function endedWithProcess ({ intent, taken }: SettlementInput): boolean {
  return intent.replaced && taken.report.instance !== intent.baselineInstance
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
  if (state === CopyState.Loading) return Effect.UnderWay
  return state === CopyState.Resident ? Effect.InEffect : Effect.None
}

function unloadEffect (state: CopyState | undefined): Effect {
  if (state === CopyState.Unloading) return Effect.UnderWay
  return state === undefined ? Effect.InEffect : Effect.None
}
