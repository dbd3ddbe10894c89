/** Follows at which version of the runners' software one stream began, over the runners and callers' requests that continue it. */
import { RouteKind } from '../config/types.js'
import type { RunnerState } from '../runners/runner-table.js'
import type { AcceptedRequest, ServeContext } from './types.js'

/** Who knows at which version a stream began. */
export const KnownBy = { ThisAnswer: 'this answer', ThisHost: 'this host', Nobody: 'nobody' } as const
export type KnownBy = (typeof KnownBy)[keyof typeof KnownBy]

export class StreamContinuity {
  readonly #streamId: string
  #softwareVersion: string | undefined
  #knownBy: KnownBy = KnownBy.Nobody

  private constructor (private readonly context: ServeContext, private readonly request: AcceptedRequest) {
    this.#streamId = this.#isTakeUp ? request.facts.continuesRequestId ?? '' : request.id
    if (this.#isTakeUp) this.#recall()
  }

  static create (context: ServeContext, request: AcceptedRequest): StreamContinuity {
    return new StreamContinuity(context, request)
  }

  /** Fields for the log where a sending continues a stream; none otherwise. */
  logFields (lastEventId: number | undefined): { continues?: string, beganAtVersion?: string, versionKnownBy?: KnownBy } {
    if (!this.#isTakeUp && lastEventId === undefined) return {}
    return { continues: this.#streamId, beganAtVersion: this.#softwareVersion, versionKnownBy: this.#knownBy }
  }

  /** Events of the stream were written to the caller. */
  onEvents ({ entry }: RunnerState): void {
    const { route, service } = this.request
    if (route.kind !== RouteKind.Stream || !route.resumable || this.#softwareVersion !== undefined || entry.softwareVersion === undefined) return
    if (this.#isTakeUp) return
    this.#softwareVersion = entry.softwareVersion
    this.#knownBy = KnownBy.ThisAnswer
    this.context.streams.onBegun(this.#streamId, { service: service.name, softwareVersion: entry.softwareVersion }, this.#nowMs())
  }

  onComplete (): void {
    this.context.streams.onComplete(this.#streamId, this.#nowMs())
  }

  /** The caller continues a stream that another answer began. */
  get #isTakeUp (): boolean {
    return this.request.facts.lastEventId !== undefined
  }

  #recall (): void {
    const origin = this.context.streams.originOf(this.#streamId, this.#nowMs())
    if (origin === undefined || origin.service !== this.request.service.name) return
    this.#softwareVersion = origin.softwareVersion
    this.#knownBy = KnownBy.ThisHost
  }

  #nowMs (): number {
    return this.context.clock.monotonicMs()
  }
}
