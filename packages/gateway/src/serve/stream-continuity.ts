/**
 * Keeps one stream at the version of the runners' software that began it, over the runners and the callers' requests that continue
 * it: what two versions write doesn't fit together, and runners don't check this.
 */
import type { Candidate } from '../choose/choose-runner.js'
import { RouteKind } from '../config/types.js'
import type { RunnerState } from '../runners/runner-table.js'
import type { RunnerEntry } from '../runners/types.js'
import { preferContinuable } from '../streams/prefer-continuable.js'
import { KnownBy } from '../streams/stream-origins.js'
import { UNSTATED_VERSION } from '../streams/types.js'
import { takeUpWaitMs } from './take-up-wait.js'
import type { AcceptedRequest, ServeContext } from './types.js'

/** By which the clocks of hosts and runners may differ. */
const CLOCK_MARGIN_MS = 1_000

export class StreamContinuity {
  readonly #streamId: string
  /** Version that began the stream; undefined as long as it has not begun, or if that isn't known. */
  #softwareVersion: string | undefined
  #knownBy: KnownBy = KnownBy.Nobody
  /** The runner that was listed when the first event came. */
  #begun: { runner: RunnerEntry, atUnixMs: number } | undefined
  /** Removes the stream from those that are in progress, while it is one of them. */
  #removeOpen: (() => void) | undefined

  private constructor (private readonly context: ServeContext, private readonly request: AcceptedRequest) {
    this.#streamId = this.isTakeUp ? request.facts.continuesRequestId ?? '' : request.id
    if (this.#isResumable) context.versions.onStream(request.service.name)
    if (!this.isTakeUp) return
    const found = context.origins.recall(this.#streamId, request.service.name)
    if (found !== undefined) this.#adopt(found.softwareVersion, found.knownBy)
  }

  static create (context: ServeContext, request: AcceptedRequest): StreamContinuity {
    return new StreamContinuity(context, request)
  }

  /** The caller continues a stream that another answer began. */
  get isTakeUp (): boolean {
    return this.#isResumable && this.request.facts.lastEventId !== undefined
  }

  get softwareVersion (): string | undefined {
    return this.#softwareVersion
  }

  /** Finds out at which version the stream began that the caller continues; resolves false if that isn't known for certain. */
  async find (): Promise<boolean> {
    if (!this.isTakeUp || this.#softwareVersion !== undefined) return true
    const found = await this.context.origins.find(this.#streamId, this.request.service.name)
    if (found !== undefined) this.#adopt(found.softwareVersion, found.knownBy)
    return found !== undefined
  }

  /** Whether the stream may begin or go on at this runner. */
  accepts (runner: RunnerEntry): boolean {
    if (!this.#isResumable) return true
    if (this.context.crashes.hasEnded(runner)) return false
    const { softwareVersion } = runner
    if (this.#softwareVersion !== undefined) return softwareVersion === this.#softwareVersion && softwareVersion !== UNSTATED_VERSION && !this.#wasOtherProcess()
    return this.context.versions.mayBegin(this.request.service.name, softwareVersion)
  }

  /** No runner of the version holds the model: the planner of loads learns of it. */
  onMissing (): void {
    const { clock, demand } = this.context
    const { service, facts: { model } } = this.request
    if (this.isTakeUp && model !== undefined && this.#isAtVersion()) demand.countTakeUp(service.name, model, this.#softwareVersion ?? UNSTATED_VERSION, clock.monotonicMs())
  }

  /** Of the candidates for a new stream those at versions at which it can go on elsewhere, if there are any. */
  preferred (candidates: Candidate[]): Candidate[] {
    const { clock, runners, versions } = this.context
    const { service, facts: { model } } = this.request
    if (!this.#isResumable || this.#softwareVersion !== undefined || !versions.isMixed(service.name)) return candidates
    const nowMs = clock.monotonicMs()
    const isHolder = (state: RunnerState) => model === undefined || service.engine === undefined || runners.holds(state, model, undefined, nowMs)
    const holders = runners.usable(service.name).filter((state) => state.health.accepts(nowMs) && isHolder(state) && this.accepts(state.entry))
    return preferContinuable(candidates, holders.map(({ entry }) => entry))
  }

  /** Time from the arrival within which the stream has to begin or to go on. */
  get targetMs (): number {
    const { route, dueMs, arrivedMs } = this.request
    return this.isTakeUp ? takeUpWaitMs(route, dueMs - arrivedMs) : route.targetLatencyMs
  }

  /** Fields for the log where a sending continues a stream; none otherwise. */
  logFields (lastEventId: number | undefined): { continues?: string, beganAtVersion?: string, versionKnownBy?: KnownBy } {
    if (!this.isTakeUp && lastEventId === undefined) return {}
    return { continues: this.#streamId, beganAtVersion: this.#softwareVersion, versionKnownBy: this.#knownBy }
  }

  /** Events of the stream were written to the caller. */
  onEvents ({ entry }: RunnerState): void {
    if (!this.#isResumable) return
    this.#countOpen(entry)
    if (this.#softwareVersion !== undefined) return
    this.#begun = { runner: entry, atUnixMs: this.context.clock.now().getTime() }
    this.#adopt(entry.softwareVersion ?? UNSTATED_VERSION, KnownBy.ThisAnswer)
  }

  /** The stream is no longer in progress. */
  onEnded (): void {
    this.#removeOpen?.()
    this.#removeOpen = undefined
  }

  /** The planner of loads learns how many streams a model has at a version. */
  #countOpen ({ softwareVersion }: RunnerEntry): void {
    const { service, facts: { model } } = this.request
    if (model === undefined || softwareVersion === undefined || this.#removeOpen !== undefined) return
    this.#removeOpen = this.context.openStreams.add(service.name, model, softwareVersion)
  }

  onComplete (): void {
    if (this.#isResumable) this.context.origins.onComplete(this.#streamId)
  }

  get #isResumable (): boolean {
    return this.request.route.kind === RouteKind.Stream && this.request.route.resumable
  }

  #isAtVersion (): boolean {
    return this.#softwareVersion !== undefined && this.#softwareVersion !== UNSTATED_VERSION
  }

  /** The list showed later that another process used the runner's id when the stream began. */
  #wasOtherProcess (): boolean {
    if (this.#begun === undefined) return false
    const { runner, atUnixMs } = this.#begun
    const listed = this.context.runners.get(runner.id)?.entry.startedUnixMs
    return listed !== undefined && listed !== runner.startedUnixMs && listed <= atUnixMs + CLOCK_MARGIN_MS
  }

  #adopt (softwareVersion: string, knownBy: KnownBy): void {
    this.#softwareVersion = softwareVersion
    this.#knownBy = knownBy
    if (this.#streamId !== '') this.context.origins.onBegun(this.#streamId, { service: this.request.service.name, softwareVersion })
  }
}
