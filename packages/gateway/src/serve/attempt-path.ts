/** The path of one attempt: starts the attempt on it, and reports what the attempt shows about it. */
import type { LogFields } from '@figloom/runtime'
import type { Dispatcher } from 'undici'
import { FaultAt, type Attempt, type AttemptObserver } from '../forward/attempt.js'
import { DirectAttempt } from '../forward/direct-attempt.js'
import type { LocatedRunner } from '../gates/types.js'
import type { RequestToPassOn } from '../pass-on/pass-on-client.js'
import { PathKind, type PathListener, type RunnerPath } from '../paths/types.js'
import type { AttemptResult } from './attempt-result.js'
import { Outcome, wasNotSent } from './outcome.js'
import type { ServeContext } from './types.js'

export type PathAssessment = {
  /** The attempt failed on the way, which says nothing about the runner. */
  failed: boolean
  /** The runner hasn't received the request and can be reached on another path. */
  hasOther: boolean
  /** The runner may have received the request, and can be reached on another path: it comes after all others. */
  isLastResort: boolean
}

/** The attempt tells nothing against its path. */
export const INTACT: PathAssessment = { failed: false, hasOther: false, isLastResort: false }

export class AttemptPath {
  #leave: (() => void) | undefined

  private constructor (private readonly context: ServeContext, private readonly runner: LocatedRunner, private readonly path: RunnerPath) {}

  static create (context: ServeContext, runner: LocatedRunner): AttemptPath {
    return new AttemptPath(context, runner, context.paths.pathTo(runner))
  }

  get logFields (): LogFields {
    return { path: this.path.kind, via: this.path.kind === PathKind.ViaHost ? this.path.host : undefined }
  }

  start (dispatcher: Dispatcher, sent: Omit<RequestToPassOn, 'runner'>, observer: AttemptObserver): Attempt {
    const { clock, passOn } = this.context
    if (this.path.kind === PathKind.Direct) return DirectAttempt.start(dispatcher, sent.request, observer, clock)
    return passOn.start(this.path, { ...sent, runner: this.runner }, observer)
  }

  /** The request is written. @param onBroken called when the direct path is found to be broken */
  onWritten (onBroken: PathListener): void {
    if (this.path.kind === PathKind.Direct) this.#leave = this.context.paths.onSent(this.runner, onBroken)
  }

  onBytes (): void {
    if (this.path.kind === PathKind.Direct) this.context.paths.onReached(this.runner)
  }

  /** Reports how the attempt ended, and compares the path with the one that is used now. */
  assess (result: AttemptResult): PathAssessment {
    const { paths } = this.context
    const failedOnPath = result.faultAt === FaultAt.Path
    if (this.path.kind === PathKind.ViaHost && failedOnPath) paths.onHostFailed(this.path.host)
    if (this.path.kind === PathKind.Direct && result.outcome === Outcome.ConnectFailed) paths.onConnectFailed(this.runner, result.reason)
    const unreached = result.outcome === Outcome.ConnectFailed || (failedOnPath && wasNotSent(result.outcome))
    const isReplaced = result.faultAt !== undefined && !isSame(this.path, paths.pathTo(this.runner))
    const directFailed = this.path.kind === PathKind.Direct && isReplaced
    return { failed: failedOnPath || directFailed, hasOther: unreached && isReplaced, isLastResort: !unreached && failedOnPath && isReplaced }
  }

  /** The request is no longer at the runner. */
  leave (): void {
    this.#leave?.()
    this.#leave = undefined
  }
}

function isSame (path: RunnerPath, other: RunnerPath): boolean {
  if (path.kind === PathKind.Direct || other.kind === PathKind.Direct) return path.kind === other.kind
  return path.host === other.host
}
