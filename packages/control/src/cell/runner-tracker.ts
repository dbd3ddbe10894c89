/** What this process itself learned of a cell's runners and orders: reports, answers and confirmed fences. */
import type { EngineReport } from '@figloom/clients'
import type { Runner } from '@figloom/tables'
import type { ObservedRunner, SettledOutcome } from './records.js'
import { settlementOf, type ConfirmedFence, type CopyAnswer, type TakenReport } from './settlement.js'
import { endOffsetOf, type CellState, type Intent } from './state.js'
import { isOpenIn } from './ledger.js'

/** What is fixed of a runner, from the tables or, for one that they no longer name, from the stream. */
export type RunnerSpec = Pick<Runner, 'name' | 'url' | 'availabilityZone' | 'memoryMiB' | 'checksFencing'>

export type Settlement = { intent: number, outcome: SettledOutcome }

type Mark = { offset: number, readMs: number }

const MARKS_KEPT = 512

/** Books of one process; they hold nothing that a successor could not learn again. */
export class RunnerBooks {
  readonly #reports = new Map<string, TakenReport>()
  readonly #answers = new Map<number, CopyAnswer>()
  readonly #fences = new Map<string, ConfirmedFence>()
  readonly #marks: Mark[] = []
  #version = 0

  static create (): RunnerBooks {
    return new RunnerBooks()
  }

  /** Changes with each answer and each confirmed fence. */
  get version (): number {
    return this.#version
  }

  /** Notes when an offset of the stream was read. */
  markRead (offset: number, readMs: number): void {
    this.#marks.push({ offset, readMs })
    if (this.#marks.length > MARKS_KEPT) this.#marks.shift()
  }

  reportOf (runner: string): TakenReport | undefined {
    return this.#reports.get(runner)
  }

  answerOf (offset: number): CopyAnswer | undefined {
    return this.#answers.get(offset)
  }

  /** Highest fence that this process of the engine confirmed. */
  fenceOf (runner: string, instance: string): number | undefined {
    const fence = this.#fences.get(runner)
    return fence?.instance === instance ? fence.fence : undefined
  }

  /** Takes a report unless a later one is known, and what it says of orders whose answer was lost. */
  takeReport (runner: string, report: EngineReport, askedMs: number, nowMs: number, intents: Intent[]): void {
    const takenMs = askedMs - report.ageMs
    const known = this.#reports.get(runner)
    if (known !== undefined && known.takenMs > takenMs) return
    this.#reports.set(runner, { report, takenMs, asOfOffset: this.#offsetReadBefore(takenMs) })
    this.#takeListedAnswers(report, nowMs, intents)
    if (report.highestFence > 0) this.#confirmFence(runner, report.highestFence, report.instance, nowMs)
  }

  /** Takes the answer to an order's copy; one that had an effect also confirms its fence. */
  takeAnswer (intent: Intent, answer: CopyAnswer): void {
    this.#answers.set(intent.offset, answer)
    this.#version += 1
    if (answer.outcome !== 'done' && answer.outcome !== 'accepted') return
    this.#confirmFence(intent.order.runner, intent.offset, answer.instance, answer.atMs)
  }

  /** Orders of a runner that count as settled by its newest report. */
  settlementsOf (state: CellState, spec: RunnerSpec): Settlement[] {
    const taken = this.#reports.get(spec.name)
    const claim = state.claim
    if (taken === undefined || claim === undefined) return []
    return state.intents
      .filter((intent) => intent.order.runner === spec.name && isOpenIn(intent, taken.report.instance))
      .flatMap((intent) => {
        const outcome = settlementOf({
          intent,
          own: intent.claim === claim.offset,
          checksFencing: spec.checksFencing,
          answer: this.#answers.get(intent.offset),
          fence: this.#fences.get(spec.name),
          taken
        })
        return outcome === undefined ? [] : [{ intent: intent.offset, outcome }]
      })
  }

  /** The newest report in the form of the stream. */
  observedOf (spec: RunnerSpec): ObservedRunner | undefined {
    const taken = this.#reports.get(spec.name)
    if (taken === undefined) return undefined
    const { name, url, availabilityZone, memoryMiB, checksFencing } = spec
    const { instance, role, copies } = taken.report
    return { name, url, availabilityZone, memoryMiB, checksFencing, instance, role, copies, asOfOffset: taken.asOfOffset }
  }

  /** Whether the stream lacks something that the newest report shows. */
  needsObservation (state: CellState, spec: RunnerSpec): boolean {
    const observed = this.observedOf(spec)
    if (observed === undefined) return false
    const known = state.runners.find(({ name }) => name === spec.name)
    if (known === undefined || essenceOf(known) !== essenceOf(observed)) return true
    return state.intents.some((intent) => {
      const endOffset = endOffsetOf(intent)
      const awaitsSight = intent.baselineInstance === undefined && intent.order.runner === spec.name
      return awaitsSight && endOffset !== undefined && observed.asOfOffset >= endOffset
    })
  }

  /** Forgets answers to orders that are settled. */
  forgetSettled (state: CellState): void {
    const open = new Set(state.intents.map(({ offset }) => offset))
    for (const offset of this.#answers.keys()) if (!open.has(offset) && offset <= state.offset) this.#answers.delete(offset)
  }

  /** An order that the engine lists as answered was received: its only copy is on its way no more. */
  #takeListedAnswers (report: EngineReport, nowMs: number, intents: Intent[]): void {
    for (const { orderId, outcome } of report.recentOrders) {
      const intent = intents.find((candidate) => candidate.orderId === orderId)
      if (intent === undefined || this.#answers.has(intent.offset)) continue
      const known = outcome === 'done' || outcome === 'refused' || outcome === 'stale-fence' ? outcome : 'accepted'
      this.#version += 1
      this.#answers.set(intent.offset, { atMs: nowMs, outcome: known, instance: report.instance })
    }
  }

  #confirmFence (runner: string, fence: number, instance: string, atMs: number): void {
    const known = this.#fences.get(runner)
    if (known?.instance === instance && known.fence >= fence) return
    this.#fences.set(runner, { fence, instance, atMs })
    this.#version += 1
  }

  #offsetReadBefore (takenMs: number): number {
    const mark = this.#marks.findLast(({ readMs }) => readMs < takenMs)
    return mark?.offset ?? 0
  }
}

function essenceOf ({ url, availabilityZone, memoryMiB, checksFencing, instance, role, copies }: ObservedRunner): string {
  const sorted = [...copies].sort((a, b) => (`${a.model}@${a.version}` < `${b.model}@${b.version}` ? -1 : 1))
  return JSON.stringify({ url, availabilityZone, memoryMiB, checksFencing, instance, role, copies: sorted })
}
