/** Maintenance of a claim stream: rotates generations, writes snapshots, and resets a stream whose history was lost. */
import type { Clock, Logger, Timer } from '@figloom/runtime'
import type { LogClient } from '@figloom/clients'
import { SnapshotSchedule } from '../streams/snapshot-schedule.js'
import type { ClaimState } from './claim-state.js'
import { claimStreamName } from './keys.js'
import type { ClaimLimits } from './limits.js'
import { toSnapshotParts } from './snapshot.js'
import { CLAIM_RULE, type ResetEntry, type RotateEntry } from './types.js'

export type ClaimStreamMaintenanceOptions = {
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

/** Owned by the task of its stream. Local times only delay what is written; the order of the log alone decides its effect. */
export class ClaimStreamMaintenance {
  readonly #schedule: SnapshotSchedule
  #tickTimer: Timer | undefined
  #generationSinceMs = 0
  #requestedGeneration = -1
  #noClaimFromOffset = 1
  #noClaimSinceMs = 0

  private constructor (private readonly options: ClaimStreamMaintenanceOptions) {
    const { host, gateways, limits, clock } = options
    const schedule = { host, everyMs: limits.snapshotEveryMs, hosts: gateways }
    this.#schedule = SnapshotSchedule.create(clock, schedule, options.onSnapshotDue)
  }

  static create (options: ClaimStreamMaintenanceOptions): ClaimStreamMaintenance {
    return new ClaimStreamMaintenance(options)
  }

  stop (): void {
    this.#schedule.stop()
    this.#tickTimer?.cancel()
  }

  /** Schedules `onTick`, ten times in the shorter of `keepMs` and `snapshotEveryMs`. */
  scheduleTick (): void {
    const { clock, limits, onTick } = this.options
    const periodMs = Math.min(limits.keepMs, limits.snapshotEveryMs) / TICKS_PER_PERIOD
    this.#tickTimer = clock.setTimer(periodMs, onTick)
  }

  /** Called when a state is loaded; `generationAgeMs` is the age of its generation at the time of the snapshot. */
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

  /** Called when no claim is known at `offset` or later; starts the wait for a reset. */
  onNoClaimFrom (offset: number): void {
    this.#noClaimFromOffset = offset
    this.#noClaimSinceMs = this.options.clock.monotonicMs()
  }

  /** Whether a valid reset covers every record that this host has not read. */
  coversUnread (resetSince: number): boolean {
    return resetSince >= this.#noClaimFromOffset
  }

  /** Returns the rotation that is due, each one once. */
  dueRotation (state: ClaimState): RotateEntry | undefined {
    const ageMs = this.options.clock.monotonicMs() - this.#generationSinceMs
    if (ageMs < this.options.limits.keepMs || state.size === 0 || this.#requestedGeneration === state.generation) return undefined
    this.#requestedGeneration = state.generation
    return { kind: 'rotate', generation: state.generation + 1 }
  }

  /** Returns the reset that is due once every key that this host cannot know of is older than `keepMs`. */
  dueReset (): ResetEntry | undefined {
    const { keepMs, minRetentionMs } = this.options.limits
    const noClaimMs = this.options.clock.monotonicMs() - this.#noClaimSinceMs
    return noClaimMs < keepMs - minRetentionMs ? undefined : { kind: 'reset', since: this.#noClaimFromOffset }
  }

  /** Appends the state in parts. Readers ignore a snapshot of which parts are missing. */
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
