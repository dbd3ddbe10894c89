/** One question to other hosts: does a runner that this host doesn't reach accept their connections? */
import type { Clock, Timer } from '@figloom/runtime'
import { RunnerCheck } from '../crashes/types.js'
import type { HostAddress, PeerClient } from '../members/types.js'

/** The next host is asked after this time: a host that is cut off itself answers late. */
const NEXT_WITNESS_MS = 100
/** A host answers after its own connection attempt, at the latest. */
const ANSWER_TIMEOUT_MS = 800

export type WitnessRoundParts = {
  clock: Clock
  calls: Pick<PeerClient, 'checkRunner'>
  /** In the order in which they are asked. */
  hosts: readonly HostAddress[]
  runnerAddress: string
  /** Whether a second host is asked after one that doesn't reach the runner either: that host may be cut off as well. */
  needsSecondOpinion: boolean
  onFailed: (host: HostAddress, reason: string) => void
}

/** What the round found: the first host that reaches the runner, if there is one. */
export type WitnessRoundResult = { reachedBy?: HostAddress }

export class WitnessRound {
  #asked = 0
  #outstanding = 0
  #finished = false
  #timer: Timer | undefined

  private constructor (private readonly parts: WitnessRoundParts, private readonly resolve: (result: WitnessRoundResult) => void) {}

  static run (parts: WitnessRoundParts): Promise<WitnessRoundResult> {
    return new Promise((resolve) => new WitnessRound(parts, resolve).#askNext())
  }

  #askNext (): void {
    this.#timer?.cancel()
    const host = this.parts.hosts[this.#asked]
    if (this.#finished || (host === undefined && this.#outstanding > 0)) return
    if (host === undefined) return this.#finish({})
    this.#asked += 1
    this.#outstanding += 1
    this.#timer = this.parts.clock.setTimer(NEXT_WITNESS_MS, () => this.#askNext())
    this.#ask(host).catch((error: Error) => this.#onFailed(host, error.message))
  }

  async #ask (host: HostAddress): Promise<void> {
    const { calls, runnerAddress } = this.parts
    const answer = await calls.checkRunner(host.peerAddress, runnerAddress, ANSWER_TIMEOUT_MS)
    this.#outstanding -= 1
    if (answer === RunnerCheck.Accepted) return this.#finish({ reachedBy: host })
    const isDecided = answer !== RunnerCheck.Unknown && !this.parts.needsSecondOpinion
    if (isDecided) return this.#finish({})
    this.#askNext()
  }

  #onFailed (host: HostAddress, reason: string): void {
    this.#outstanding -= 1
    this.parts.onFailed(host, reason)
    this.#askNext()
  }

  #finish (result: WitnessRoundResult): void {
    if (this.#finished) return
    this.#finished = true
    this.#timer?.cancel()
    this.resolve(result)
  }
}
