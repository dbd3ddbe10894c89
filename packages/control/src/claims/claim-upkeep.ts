/** What keeps a claim stream small and readable: generations, snapshots, and the reset of a stream that was lost. */
import type { Clock, Logger, Timer } from '@figloom/runtime'
import type { LogClient } from '@figloom/clients'
import { SnapshotSchedule } from '../streams/snapshot-schedule.js'
import type { ClaimState } from './claim-state.js'
import { claimStreamName } from './keys.js'
import type { ClaimLimits } from './limits.js'
import { toSnapshotParts } from './snapshot.js'
import { CLAIM_RULE, type ResetEntry, type RotateEntry } from './types.js'

export type ClaimUpkeepOptions = {
  log: LogClient
  clock: Clock
  logger: Logger
  index: number
  host: string
  incarnation: string
  gateways: () => string[]
  limits: ClaimLimits
  onTick: () => void
  onSnapshotDue: () => void
}

const TICKS_PER_PERIOD = 10

/** Owned by the task of its stream. All times are this host's own and only delay things: what counts is the log's order. */
export class ClaimUpkeep {
  readonly #schedule: SnapshotSchedule
  #tickTimer: Timer | undefined
  #generationSinceMs = 0
  #askedRotation = -1
  #quietFrom = 1
  #quietSinceMs = 0

  private constructor (private readonly options: ClaimUpkeepOptions) {
    const { host, gateways, limits, clock } = options
    const schedule = { host, everyMs: limits.snapshotEveryMs, hosts: gateways }
    this.#schedule = SnapshotSchedule.create(clock, schedule, options.onSnapshotDue)
  }

  static create (options: ClaimUpkeepOptions): ClaimUpkeep {
    return new ClaimUpkeep(options)
  }

  stop (): void {
    this.#schedule.stop()
    this.#tickTimer?.cancel()
  }

  /** Calls `onTick` after the next part of the shortest period. */
  scheduleTick (): void {
    const { clock, limits, onTick } = this.options
    const periodMs = Math.min(limits.keepMs, limits.snapshotEveryMs) / TICKS_PER_PERIOD
    this.#tickTimer = clock.setTimer(periodMs, onTick)
  }

  /** A state was loaded whose generation had this age when it was written. */
  onLoaded (generationAgeMs: number): void {
    this.#generationSinceMs = this.options.clock.monotonicMs() - generationAgeMs
    this.#schedule.restart()
  }

  onRotated (): void {
    this.#generationSinceMs = this.options.clock.monotonicMs()
  }

  onSnapshotRead (): void {
    this.#schedule.restart()
  }

  /** The stream is read without a claim from this offset, from now. */
  onQuietFrom (offset: number): void {
    this.#quietFrom = offset
    this.#quietSinceMs = this.options.clock.monotonicMs()
  }

  /** Whether a valid reset stands for all that this host has not read. */
  covers (resetSince: number): boolean {
    return resetSince >= this.#quietFrom
  }

  /** Rotation that is due; each is asked for once. */
  dueRotation (state: ClaimState): RotateEntry | undefined {
    const ageMs = this.options.clock.monotonicMs() - this.#generationSinceMs
    if (ageMs < this.options.limits.keepMs || state.size === 0 || this.#askedRotation === state.generation) return undefined
    this.#askedRotation = state.generation
    return { kind: 'rotate', generation: state.generation + 1 }
  }

  /** Reset that is due: every key that this host cannot know of is older than `keepMs`. */
  dueReset (): ResetEntry | undefined {
    const { keepMs, minRetentionMs } = this.options.limits
    const quietMs = this.options.clock.monotonicMs() - this.#quietSinceMs
    return quietMs < keepMs - minRetentionMs ? undefined : { kind: 'reset', since: this.#quietFrom }
  }

  /** Appends the state in parts. A snapshot that stays unfinished is ignored by readers. */
  async appendSnapshot (state: ClaimState): Promise<void> {
    const { log, clock, logger, host, incarnation, index } = this.options
    this.#schedule.restart()
    const id = `${host}-${incarnation}-${index}-at-${state.offset}`
    for (const snapshot of toSnapshotParts(state, id, clock.monotonicMs() - this.#generationSinceMs)) {
      const result = await log.append(claimStreamName(index), `${id}-${snapshot.part}`, { rule: CLAIM_RULE, snapshot })
      if (result.isOk()) continue
      return logger.warn('claim snapshot was not written', { stream: index, reason: result.error.message })
    }
  }
}
