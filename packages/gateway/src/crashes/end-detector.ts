/**
 * Detects that a runner's process ended while requests of this host were at it. When a process ends, all its connections break
 * and new ones are refused; a single broken connection, or a runner that can't be reached, is no end. Neither is a refusal that only
 * this host meets: its own links may be broken, so a witness has to confirm the end. Where the next process listens already, the
 * platform's list shows the end.
 */
import type { Clock, Logger } from '@figloom/runtime'
import type { LocatedRunner } from '../gates/types.js'
import type { InstantSource } from '../lease/instant.js'
import { Departure, EndVerdict, ProbeResult, type ListenerProbe, type ProcessEnd, type RunnerWitness, type SentRequest, type WitnessReport } from './types.js'

/** The connections of a process that ended break within this time of each other. */
const COLLECT_MS = 20
/** Other hosts are asked again after this time if none could tell: a busy host may answer too late. */
const ASK_AGAIN_MS = 150
const MAX_ASKED = 4
/** An end is reported once: further connections that break within this time belong to the same process. */
const SAME_END_MS = 1_000
/** What a runner's address accepts may be its next process: the platform lists that one within this time after the end of the one before. */
const NEXT_LISTED_MS = 3_000
const LIST_CHECK_MS = 100
/** A live host refuses a connection to a closed port in one round trip. */
const PROBE_TIMEOUT_MS = 700

export type EndDetectorParts = {
  clock: Clock
  instants: InstantSource
  log: Logger
  probe: ListenerProbe
  witness: RunnerWitness
  /** The processes of runners that the platform lists. */
  listed: () => readonly LocatedRunner[]
  onEnd: (end: ProcessEnd) => void
  /** A runner refuses this host's connections and has not ended, as far as is known. */
  onUnconfirmed: (runner: LocatedRunner, report: WitnessReport) => void
}

type ProcessRequests = {
  runner: LocatedRunner
  /** Requests at the process, by id. */
  open: Map<string, SentRequest>
  /** Requests whose connection broke. */
  broken: SentRequest[]
  /** When the first connection broke; undefined while none has. */
  brokenSinceMs: number | undefined
}

export class EndDetector {
  readonly #processes = new Map<string, ProcessRequests>()

  private constructor (private readonly parts: EndDetectorParts) {}

  static create (parts: EndDetectorParts): EndDetector {
    return new EndDetector(parts)
  }

  /** A request is written to a runner. */
  onSent (runner: LocatedRunner, request: SentRequest): void {
    this.#processOf(runner).open.set(request.requestId, request)
  }

  /** Part of the answer was received; returns the request if it is the first part. */
  onBegun (runner: LocatedRunner, requestId: string): SentRequest | undefined {
    const request = this.#processes.get(keyOf(runner))?.open.get(requestId)
    if (request === undefined || request.begun) return undefined
    request.begun = true
    return request
  }

  /** The request is no longer at its runner; returns it if it was there. */
  onLeft (runner: LocatedRunner, requestId: string, departure: Departure): SentRequest | undefined {
    const process = this.#processes.get(keyOf(runner))
    const request = process?.open.get(requestId)
    if (process === undefined || request === undefined) return undefined
    process.open.delete(requestId)
    if (departure === Departure.Broken) this.#onBroken(process, request)
    else if (process.open.size === 0 && process.brokenSinceMs === undefined) this.#processes.delete(keyOf(runner))
    return request
  }

  #onBroken (process: ProcessRequests, request: SentRequest): void {
    process.broken.push(request)
    if (process.brokenSinceMs !== undefined) return
    process.brokenSinceMs = this.parts.instants.nowMs()
    this.#confirm(process).catch((error: Error) => {
      this.#reset(process)
      this.parts.log.error('end of a runner could not be confirmed', { runner: process.runner.id, reason: error.message })
    })
  }

  async #confirm (process: ProcessRequests): Promise<void> {
    const { clock, probe, witness, onUnconfirmed } = this.parts
    const { runner } = process
    const mayBeNext = this.#isReplaced(runner)
    await clock.sleep(COLLECT_MS)
    for (let asked = 1; ; asked += 1) {
      // Requests whose connections break later than this belong to another event.
      if (await probe.probe(runner.address, PROBE_TIMEOUT_MS) !== ProbeResult.Refused) {
        this.#leaveToList(process, mayBeNext)
        return
      }
      const report = await witness.confirmEnd(runner)
      if (report.verdict === EndVerdict.Ended) return this.#report(process, report.basis)
      if (report.verdict === EndVerdict.Alive || asked === MAX_ASKED) {
        if (!this.#leaveToList(process, mayBeNext)) onUnconfirmed(runner, report)
        return
      }
      await clock.sleep(ASK_AGAIN_MS)
    }
  }

  /**
   * The end is reported if the platform comes to list another process in place of this one.
   * @param mayBeNext whether it did before the connections broke: these may have been the other process's
   * @returns whether it lists one now
   */
  #leaveToList (process: ProcessRequests, mayBeNext: boolean): boolean {
    const { runner, broken, brokenSinceMs } = process
    this.#reset(process)
    if (mayBeNext || brokenSinceMs === undefined) return false
    const isListed = this.#isReplaced(runner)
    this.#checkList({ runner, endedMs: brokenSinceMs, requests: broken, confirmedBy: 'the platform lists the next process' })
    return isListed
  }

  #checkList (end: ProcessEnd): void {
    if (this.#isReplaced(end.runner)) return this.parts.onEnd(end)
    if (this.parts.instants.nowMs() - end.endedMs >= NEXT_LISTED_MS) return
    this.parts.clock.setTimer(LIST_CHECK_MS, () => this.#checkList(end))
  }

  #isReplaced (runner: LocatedRunner): boolean {
    const listed = this.parts.listed()
    return !listed.some((entry) => keyOf(entry) === keyOf(runner)) && listed.some((entry) => isNextOf(runner, entry))
  }

  #report (process: ProcessRequests, confirmedBy: string): void {
    const { runner, broken, open, brokenSinceMs } = process
    const endedMs = brokenSinceMs ?? this.parts.instants.nowMs()
    this.parts.onEnd({ runner, endedMs, requests: [...broken, ...open.values()], confirmedBy })
    this.parts.clock.setTimer(SAME_END_MS, () => this.#reset(process))
  }

  #reset (process: ProcessRequests): void {
    process.broken = []
    process.brokenSinceMs = undefined
    if (process.open.size === 0) this.#processes.delete(keyOf(process.runner))
  }

  #processOf (runner: LocatedRunner): ProcessRequests {
    const key = keyOf(runner)
    const known = this.#processes.get(key)
    if (known !== undefined) return known
    const created: ProcessRequests = { runner: { id: runner.id, address: runner.address, startedUnixMs: runner.startedUnixMs }, open: new Map(), broken: [], brokenSinceMs: undefined }
    this.#processes.set(key, created)
    return created
  }
}

function isNextOf (runner: LocatedRunner, { id, address, startedUnixMs }: LocatedRunner): boolean {
  if (address !== runner.address) return false
  return id !== runner.id || (startedUnixMs ?? -Infinity) > (runner.startedUnixMs ?? Infinity)
}

/** Distinguishes the processes that use an address one after the other. */
export function keyOf ({ id, address, startedUnixMs }: LocatedRunner): string {
  return `${id}@${address}/${startedUnixMs ?? ''}`
}
