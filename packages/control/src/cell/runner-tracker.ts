/** What this process received from a cell's runners: reports, answers to orders and confirmed fences. */
import type { EngineReport } from '@figloom/clients'
import type { Runner } from '@figloom/tables'
import type { ObservedRunner, SettledOutcome } from './records.js'
import { settlementOf, type ConfirmedFence, type OrderAnswer, type TimedReport } from './settlement.js'
import { endOffsetOf, type CellState, type Intent } from './state.js'
import { isOpenIn } from './ledger.js'

/** Configuration of a runner, from the tables or, if they no longer name it, from the stream. */
export type RunnerSpec = Pick<Runner, 'name' | 'url' | 'availabilityZone' | 'memoryMiB' | 'checksFencing'>

export type Settlement = { intent: number, outcome: SettledOutcome }

type ReadPosition = { offset: number, readMs: number }

const MAX_READ_POSITIONS = 512

/** In-memory record of one process; a successor can obtain all of it again from the runners. */
export class RunnerTracker {
  readonly #reports = new Map<string, TimedReport>()
  readonly #answers = new Map<number, OrderAnswer>()
  readonly #fences = new Map<string, ConfirmedFence>()
  readonly #readPositions: ReadPosition[] = []
  #version = 0

  static create (): RunnerTracker {
    return new RunnerTracker()
  }

  /** Changes with each answer and each newly confirmed fence. */
  get version (): number {
    return this.#version
  }

  /** Records when an offset of the stream was read. */
  noteReadPosition (offset: number, readMs: number): void {
    this.#readPositions.push({ offset, readMs })
    if (this.#readPositions.length > MAX_READ_POSITIONS) this.#readPositions.shift()
  }

  reportOf (runner: string): TimedReport | undefined {
    return this.#reports.get(runner)
  }

  answerOf (offset: number): OrderAnswer | undefined {
    return this.#answers.get(offset)
  }

  /** Highest fence that the engine process `instance` confirmed. */
  fenceOf (runner: string, instance: string): number | undefined {
    const fence = this.#fences.get(runner)
    return fence?.instance === instance ? fence.fence : undefined
  }

  /** Stores a report unless a later one is known, with its list of recent orders, which recovers lost answers. */
  addReport (runner: string, report: EngineReport, requestedMs: number, nowMs: number, intents: Intent[]): void {
    const takenMs = requestedMs - report.ageMs
    const known = this.#reports.get(runner)
    if (known !== undefined && known.takenMs > takenMs) return
    this.#reports.set(runner, { report, takenMs, asOfOffset: this.#offsetReadBefore(takenMs) })
    this.#addListedAnswers(report, nowMs, intents)
    if (report.highestFence > 0) this.#confirmFence(runner, report.highestFence, report.instance, nowMs)
  }

  /** Stores the answer to an order; if the order was done or accepted, this also confirms its fence. */
  addAnswer (intent: Intent, answer: OrderAnswer): void {
    this.#answers.set(intent.offset, answer)
    this.#version += 1
    if (answer.outcome !== 'done' && answer.outcome !== 'accepted') return
    this.#confirmFence(intent.order.runner, intent.offset, answer.instance, answer.atMs)
  }

  /** Orders of a runner that its newest report settles. */
  settlementsOf (state: CellState, spec: RunnerSpec): Settlement[] {
    const timedReport = this.#reports.get(spec.name)
    const claim = state.claim
    if (timedReport === undefined || claim === undefined) return []
    return state.intents
      .filter((intent) => intent.order.runner === spec.name && isOpenIn(intent, timedReport.report.instance))
      .flatMap((intent) => {
        const outcome = settlementOf({
          intent,
          isOwnClaim: intent.claim === claim.offset,
          checksFencing: spec.checksFencing,
          answer: this.#answers.get(intent.offset),
          fence: this.#fences.get(spec.name),
          timedReport
        })
        return outcome === undefined ? [] : [{ intent: intent.offset, outcome }]
      })
  }

  /** The newest report in the format of the stream's records. */
  observedOf (spec: RunnerSpec): ObservedRunner | undefined {
    const timedReport = this.#reports.get(spec.name)
    if (timedReport === undefined) return undefined
    const { name, url, availabilityZone, memoryMiB, checksFencing } = spec
    const { instance, role, copies } = timedReport.report
    return { name, url, availabilityZone, memoryMiB, checksFencing, instance, role, copies, asOfOffset: timedReport.asOfOffset }
  }

  /** Whether the newest report shows something that the stream lacks. */
  needsObservation (state: CellState, spec: RunnerSpec): boolean {
    const observed = this.observedOf(spec)
    if (observed === undefined) return false
    const known = state.runners.find(({ name }) => name === spec.name)
    if (known === undefined || comparableFieldsOf(known) !== comparableFieldsOf(observed)) return true
    return state.intents.some((intent) => {
      const endOffset = endOffsetOf(intent)
      const awaitsObservation = intent.baselineInstance === undefined && intent.order.runner === spec.name
      return awaitsObservation && endOffset !== undefined && observed.asOfOffset >= endOffset
    })
  }

  /** Removes the answers to settled orders. */
  forgetSettled (state: CellState): void {
    const open = new Set(state.intents.map(({ offset }) => offset))
    for (const offset of this.#answers.keys()) if (!open.has(offset) && offset <= state.offset) this.#answers.delete(offset)
  }

  /** Records answers from the engine's list of recent orders. A listed order has arrived and, sent only once, is not in flight. */
  #addListedAnswers (report: EngineReport, nowMs: number, intents: Intent[]): void {
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
    const position = this.#readPositions.findLast(({ readMs }) => readMs < takenMs)
    return position?.offset ?? 0
  }
}

function comparableFieldsOf ({ url, availabilityZone, memoryMiB, checksFencing, instance, role, copies }: ObservedRunner): string {
  const sorted = [...copies].sort((a, b) => (`${a.model}@${a.version}` < `${b.model}@${b.version}` ? -1 : 1))
  return JSON.stringify({ url, availabilityZone, memoryMiB, checksFencing, instance, role, copies: sorted })
}
